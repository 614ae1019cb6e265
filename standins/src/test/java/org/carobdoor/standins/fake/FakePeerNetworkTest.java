package org.carobdoor.standins.fake;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.Ping;
import org.carobdoor.message.Pong;
import org.junit.jupiter.api.Test;

/** Guards against a network that delivers messages across a partition or to a stopped node. */
final class FakePeerNetworkTest {
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");

    private final AtomicInteger handled = new AtomicInteger();
    private final FakePeerNetwork network = FakePeerNetwork.create(11, InstantSource.system());

    FakePeerNetworkTest() {
        network.node(A);
        network.node(B)
                .handle(
                        Ping.class,
                        (from, ping) -> {
                            handled.incrementAndGet();
                            return new Pong();
                        });
    }

    @Test
    void callReturnsTheReply() {
        assertThat(call(2_000).orElseThrow()).isEqualTo(new Pong());
    }

    @Test
    void partitionDropsTheRequestAndOneWayPartitionTheReply() {
        network.partition(A, B);
        assertThat(kind(call(50))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(handled.get()).isEqualTo(0);
        network.removePartitions();
        network.partitionOneWay(B, A);
        assertThat(kind(call(50))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(handled.get()).isEqualTo(1);
    }

    @Test
    void stoppedNodeRefusesConnections() {
        network.stop(B);
        assertThat(kind(call(1_000))).isEqualTo(FailureKind.NOT_DONE);
        network.restart(B);
        assertThat(call(2_000).isOk()).isTrue();
    }

    @Test
    void duplicatedMessageReachesTheHandlerTwice() throws Exception {
        network.setFaults(new LinkFaults(0, 1, Duration.ZERO, Duration.ofMillis(2)));
        call(2_000).orElseThrow();
        Instant deadline = Instant.now().plusSeconds(2);
        while (handled.get() < 2 && Instant.now().isBefore(deadline)) {
            Thread.sleep(1);
        }
        assertThat(handled.get()).isEqualTo(2);
    }

    private Result<PeerMessage> call(long millis) {
        return network.node(A).call(B, new Ping(), Instant.now().plusMillis(millis));
    }

    private static FailureKind kind(Result<?> result) {
        return ((Result.Err<?>) result).failure().kind();
    }
}
