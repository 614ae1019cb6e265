package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.carobdoor.Bytes;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkRead;
import org.carobdoor.message.WorkReadReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the promises of the transport: authentication, precise failures, silent connections. */
final class TcpPeerNetworkTest {
    private static final Bytes KEY = Bytes.utf8("a cluster key of some length");
    private static final Bytes OTHER = Bytes.utf8("another cluster key, also long");
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");
    private static final TransportSettings SETTINGS =
            TransportSettings.defaults()
                    .withSilence(Duration.ofMillis(300), Duration.ofMillis(200))
                    .withMaxFrameBytes(100_000);

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable c : open.reversed()) {
            c.close();
        }
    }

    @Test
    void callIsAnswered() {
        TcpPeerNetwork a = pair(KEY);
        assertThat(read(a, 5, Duration.ofSeconds(5)).orElseThrow()).isEqualTo(answer(5));
        assertThat(read(a, 6, Duration.ofSeconds(5)).orElseThrow()).isEqualTo(answer(6));
    }

    @Test
    void wrongKeyIsRefusedBeforeAnythingIsSent() {
        Failure f = failure(read(pair(OTHER), 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.handshake");
        assertThat(f.peer()).isEqualTo("b");
    }

    @Test
    void keyIsReplacedAtRunTime() {
        ClusterKeys serverKeys = ClusterKeys.of(List.of(KEY));
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(OTHER)));
        TcpPeerNetwork b = answering(serverKeys);
        a.resolveWith(id -> Optional.of(b.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isFalse();
        serverKeys.replace(List.of(KEY, OTHER));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
    }

    @Test
    void anotherNodeAtTheAddressIsNotTakenForThePeer() {
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork c = network(new NodeId("c"), ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(c.address()));
        Failure f = failure(read(a, 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.detail()).contains("this is node c");
    }

    @Test
    void tamperedFrameIsRefused() throws Exception {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        Relay relay = relay(b);
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(relay.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        relay.tamper(
                data -> {
                    data[data.length - 1] ^= 1;
                    return data;
                });
        Failure f = failure(read(a, 2, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(b.counters().authenticationFailures()).isEqualTo(1);
    }

    @Test
    void repeatedFrameIsRefused() throws Exception {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        Relay relay = relay(b);
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(relay.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        relay.tamper(
                data -> {
                    byte[] twice = java.util.Arrays.copyOf(data, 2 * data.length);
                    System.arraycopy(data, 0, twice, data.length, data.length);
                    return twice;
                });
        read(a, 2, Duration.ofSeconds(5));
        for (int i = 0; i < 100 && b.counters().authenticationFailures() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(b.counters().authenticationFailures()).isEqualTo(1);
    }

    @Test
    void silentConnectionIsReplaced() throws Exception {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        Relay relay = relay(b);
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(relay.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        relay.silence();
        Instant start = Instant.now();
        Failure f = failure(read(a, 2, Duration.ofSeconds(30)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.step()).isEqualTo("peer.reply");
        assertThat(Duration.between(start, Instant.now())).isLessThan(Duration.ofSeconds(5));
        assertThat(read(a, 3, Duration.ofSeconds(5)).orElseThrow()).isEqualTo(answer(3));
        assertThat(relay.accepted()).isEqualTo(2);
    }

    @Test
    void callsWithShortDeadlinesDoNotHideASilentConnection() throws Exception {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        Relay relay = relay(b);
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(relay.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        relay.silence();
        boolean recovered = false;
        for (int i = 0; i < 40 && !recovered; i++) {
            recovered = read(a, i, Duration.ofMillis(100)).isOk();
        }
        assertThat(recovered).isTrue();
    }

    @Test
    void idleSilentConnectionIsFoundByPing() throws Exception {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        Relay relay = relay(b);
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        a.resolveWith(id -> Optional.of(relay.address()));
        assertThat(read(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        relay.silence();
        for (int i = 0; i < 100 && a.counters().silentConnections() == 0; i++) {
            Thread.sleep(50);
        }
        assertThat(a.counters().silentConnections()).isEqualTo(1);
    }

    @Test
    void slowHandlerDoesNotCountAsSilence() {
        TcpPeerNetwork a = pair(KEY);
        assertThat(read(a, 1000, Duration.ofSeconds(10)).orElseThrow()).isEqualTo(answer(1000));
        assertThat(a.counters().silentConnections()).isEqualTo(0);
    }

    @Test
    void replyAfterTheDeadlineIsDropped() throws Exception {
        TcpPeerNetwork a = pair(KEY);
        Failure f = failure(read(a, 400, Duration.ofMillis(200)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.step()).isEqualTo("peer.reply");
        for (int i = 0; i < 100 && a.counters().lateReplies() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(a.counters().lateReplies()).isEqualTo(1);
        assertThat(read(a, 3, Duration.ofSeconds(5)).orElseThrow()).isEqualTo(answer(3));
    }

    @Test
    void unreachablePeerIsNotDone() {
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(KEY)));
        assertThat(failure(read(a, 1, Duration.ofSeconds(5))).step()).isEqualTo("peer.address");
        a.resolveWith(id -> Optional.of(new InetSocketAddress(ANY.getAddress(), 1)));
        Failure f = failure(read(a, 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.connect");
    }

    @Test
    void messageWithoutHandlerIsNotDone() {
        Failure f =
                failure(
                        pair(KEY)
                                .call(
                                        B,
                                        new WorkHandover(List.of()),
                                        Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.handle");
    }

    @Test
    void oversizeMessageIsRejectedHere() {
        WorkRead big = new WorkRead("x".repeat(200_000), 1);
        Failure f = failure(pair(KEY).call(B, big, Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.REJECTED);
    }

    @Test
    void oversizeFrameOfAPeerClosesTheConnection() {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork a =
                keep(
                        TcpPeerNetwork.open(
                                A,
                                ANY,
                                ClusterKeys.of(List.of(KEY)),
                                SETTINGS.withMaxFrameBytes(1 << 20),
                                InstantSource.system()));
        a.resolveWith(id -> Optional.of(b.address()));
        WorkRead big = new WorkRead("x".repeat(200_000), 1);
        Failure f = failure(a.call(B, big, Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.detail()).contains("closed");
    }

    @Test
    void queueOfAnUnreachablePeerIsBounded() throws Exception {
        TcpPeerNetwork a =
                keep(
                        TcpPeerNetwork.open(
                                A,
                                ANY,
                                ClusterKeys.of(List.of(KEY)),
                                SETTINGS.withMaxQueuedMessages(10),
                                InstantSource.system()));
        CountDownLatch looked = new CountDownLatch(1);
        a.resolveWith(
                id -> {
                    awaitQuietly(looked);
                    return Optional.empty();
                });
        for (int i = 0; i < 15; i++) {
            a.send(B, new WorkRead("r", i));
        }
        Failure f = failure(read(a, 1, Duration.ofSeconds(5)));
        looked.countDown();
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.queue");
        assertThat(a.counters().droppedSends()).isEqualTo(5);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Result<PeerMessage> read(TcpPeerNetwork a, int offset, Duration wait) {
        return a.call(B, new WorkRead("r", offset), Instant.now().plus(wait));
    }

    private static WorkReadReply answer(int offset) {
        return new WorkReadReply(true, 1, offset, 0, "", "running");
    }

    private static Failure failure(Result<PeerMessage> r) {
        return ((Result.Err<PeerMessage>) r).failure();
    }

    /** Returns a network with the given key, connected to one with {@link #KEY}. */
    private TcpPeerNetwork pair(Bytes key) {
        TcpPeerNetwork b = answering(ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork a = network(A, ClusterKeys.of(List.of(key)));
        a.resolveWith(id -> Optional.of(b.address()));
        return a;
    }

    /** The handler takes as many milliseconds as the offset says, if that is more than 100. */
    private TcpPeerNetwork answering(ClusterKeys keys) {
        TcpPeerNetwork b = network(B, keys);
        b.handle(
                WorkRead.class,
                (from, m) -> {
                    if (m.offset() > 100) {
                        java.util.concurrent.locks.LockSupport.parkNanos(m.offset() * 1_000_000L);
                    }
                    return answer(m.offset());
                });
        return b;
    }

    private Relay relay(TcpPeerNetwork target) throws Exception {
        return keep(new Relay(target.address()));
    }

    private TcpPeerNetwork network(NodeId id, ClusterKeys keys) {
        return keep(TcpPeerNetwork.open(id, ANY, keys, SETTINGS, InstantSource.system()));
    }

    private <C extends AutoCloseable> C keep(C c) {
        open.add(c);
        return c;
    }
}
