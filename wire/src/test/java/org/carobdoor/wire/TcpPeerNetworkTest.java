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

/**
 * Guards against unauthenticated frames, failures that misstate the effect of a call, and
 * undetected unresponsive connections.
 */
final class TcpPeerNetworkTest {
    private static final Bytes KEY = Bytes.utf8("a cluster key of some length");
    private static final Bytes OTHER_KEY = Bytes.utf8("another cluster key, also long");
    private static final InetSocketAddress LOOPBACK_ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");
    private static final TransportSettings SETTINGS =
            TransportSettings.defaults()
                    .withReadTimeout(Duration.ofMillis(300), Duration.ofMillis(200))
                    .withMaxFrameBytes(100_000);

    private final List<AutoCloseable> resources = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable c : resources.reversed()) {
            c.close();
        }
    }

    @Test
    void callIsAnswered() {
        TcpPeerNetwork a = clientOfNewServer(KEY);
        assertThat(callWorkRead(a, 5, Duration.ofSeconds(5)).orElseThrow())
                .isEqualTo(expectedReply(5));
        assertThat(callWorkRead(a, 6, Duration.ofSeconds(5)).orElseThrow())
                .isEqualTo(expectedReply(6));
    }

    @Test
    void wrongKeyIsRefusedBeforeAnythingIsSent() {
        Failure f = failure(callWorkRead(clientOfNewServer(OTHER_KEY), 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.handshake");
        assertThat(f.peer()).isEqualTo("b");
    }

    @Test
    void keyIsReplacedAtRunTime() {
        ClusterKeys serverKeys = ClusterKeys.of(List.of(KEY));
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(OTHER_KEY)));
        TcpPeerNetwork b = newServer(serverKeys);
        a.setAddressResolver(id -> Optional.of(b.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isFalse();
        serverKeys.replace(List.of(KEY, OTHER_KEY));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
    }

    @Test
    void connectionToAnotherNodeIsRefused() {
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork c = newNetwork(new NodeId("c"), ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(c.address()));
        Failure f = failure(callWorkRead(a, 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.detail()).contains("this is node c");
    }

    @Test
    void tamperedFrameIsRefused() throws Exception {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        FaultInjectingProxy proxy = newProxy(b);
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(proxy.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        proxy.tamper(
                data -> {
                    data[data.length - 1] ^= 1;
                    return data;
                });
        Failure f = failure(callWorkRead(a, 2, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(b.counters().authenticationFailures()).isEqualTo(1);
    }

    @Test
    void repeatedFrameIsRefused() throws Exception {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        FaultInjectingProxy proxy = newProxy(b);
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(proxy.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        proxy.tamper(
                data -> {
                    byte[] twice = java.util.Arrays.copyOf(data, 2 * data.length);
                    System.arraycopy(data, 0, twice, data.length, data.length);
                    return twice;
                });
        callWorkRead(a, 2, Duration.ofSeconds(5));
        for (int i = 0; i < 100 && b.counters().authenticationFailures() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(b.counters().authenticationFailures()).isEqualTo(1);
    }

    @Test
    void unresponsiveConnectionIsReplaced() throws Exception {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        FaultInjectingProxy proxy = newProxy(b);
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(proxy.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        proxy.stopForwarding();
        Instant start = Instant.now();
        Failure f = failure(callWorkRead(a, 2, Duration.ofSeconds(30)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.step()).isEqualTo("peer.reply");
        assertThat(Duration.between(start, Instant.now())).isLessThan(Duration.ofSeconds(5));
        assertThat(callWorkRead(a, 3, Duration.ofSeconds(5)).orElseThrow())
                .isEqualTo(expectedReply(3));
        assertThat(proxy.acceptedConnections()).isEqualTo(2);
    }

    @Test
    void unresponsiveConnectionIsDetectedDespiteShortDeadlines() throws Exception {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        FaultInjectingProxy proxy = newProxy(b);
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(proxy.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        proxy.stopForwarding();
        boolean recovered = false;
        for (int i = 0; i < 40 && !recovered; i++) {
            recovered = callWorkRead(a, i, Duration.ofMillis(100)).isOk();
        }
        assertThat(recovered).isTrue();
    }

    @Test
    void unresponsiveIdleConnectionIsDetectedByPing() throws Exception {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        FaultInjectingProxy proxy = newProxy(b);
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        a.setAddressResolver(id -> Optional.of(proxy.address()));
        assertThat(callWorkRead(a, 1, Duration.ofSeconds(5)).isOk()).isTrue();
        proxy.stopForwarding();
        for (int i = 0; i < 100 && a.counters().readTimeouts() == 0; i++) {
            Thread.sleep(50);
        }
        assertThat(a.counters().readTimeouts()).isEqualTo(1);
    }

    @Test
    void slowHandlerCausesNoReadTimeout() {
        TcpPeerNetwork a = clientOfNewServer(KEY);
        assertThat(callWorkRead(a, 1000, Duration.ofSeconds(10)).orElseThrow())
                .isEqualTo(expectedReply(1000));
        assertThat(a.counters().readTimeouts()).isEqualTo(0);
    }

    @Test
    void replyAfterTheDeadlineIsDropped() throws Exception {
        TcpPeerNetwork a = clientOfNewServer(KEY);
        Failure f = failure(callWorkRead(a, 400, Duration.ofMillis(200)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.step()).isEqualTo("peer.reply");
        for (int i = 0; i < 100 && a.counters().lateReplies() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(a.counters().lateReplies()).isEqualTo(1);
        assertThat(callWorkRead(a, 3, Duration.ofSeconds(5)).orElseThrow())
                .isEqualTo(expectedReply(3));
    }

    @Test
    void unreachablePeerIsNotDone() {
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(KEY)));
        assertThat(failure(callWorkRead(a, 1, Duration.ofSeconds(5))).step())
                .isEqualTo("peer.address");
        a.setAddressResolver(
                id -> Optional.of(new InetSocketAddress(LOOPBACK_ANY_PORT.getAddress(), 1)));
        Failure f = failure(callWorkRead(a, 1, Duration.ofSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.connect");
    }

    @Test
    void messageWithoutHandlerIsNotDone() {
        Failure f =
                failure(
                        clientOfNewServer(KEY)
                                .call(
                                        B,
                                        new WorkHandover(List.of()),
                                        Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.handle");
    }

    @Test
    void oversizeMessageIsRejectedBySender() {
        WorkRead big = new WorkRead("x".repeat(200_000), 1);
        Failure f = failure(clientOfNewServer(KEY).call(B, big, Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.REJECTED);
    }

    @Test
    void oversizeFrameOfAPeerClosesTheConnection() {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork a =
                closeAfterTest(
                        TcpPeerNetwork.open(
                                A,
                                LOOPBACK_ANY_PORT,
                                ClusterKeys.of(List.of(KEY)),
                                SETTINGS.withMaxFrameBytes(1 << 20),
                                InstantSource.system()));
        a.setAddressResolver(id -> Optional.of(b.address()));
        WorkRead big = new WorkRead("x".repeat(200_000), 1);
        Failure f = failure(a.call(B, big, Instant.now().plusSeconds(5)));
        assertThat(f.kind()).isEqualTo(FailureKind.UNKNOWN);
        assertThat(f.detail()).contains("closed");
    }

    @Test
    void queueOfAnUnreachablePeerIsBounded() throws Exception {
        TcpPeerNetwork a =
                closeAfterTest(
                        TcpPeerNetwork.open(
                                A,
                                LOOPBACK_ANY_PORT,
                                ClusterKeys.of(List.of(KEY)),
                                SETTINGS.withMaxQueuedMessages(10),
                                InstantSource.system()));
        CountDownLatch release = new CountDownLatch(1);
        a.setAddressResolver(
                id -> {
                    awaitLatch(release);
                    return Optional.empty();
                });
        for (int i = 0; i < 15; i++) {
            a.send(B, new WorkRead("r", i));
        }
        Failure f = failure(callWorkRead(a, 1, Duration.ofSeconds(5)));
        release.countDown();
        assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
        assertThat(f.step()).isEqualTo("peer.queue");
        assertThat(a.counters().droppedSends()).isEqualTo(5);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Result<PeerMessage> callWorkRead(TcpPeerNetwork a, int offset, Duration wait) {
        return a.call(B, new WorkRead("r", offset), Instant.now().plus(wait));
    }

    private static WorkReadReply expectedReply(int offset) {
        return new WorkReadReply(true, 1, offset, 0, "", "running");
    }

    private static Failure failure(Result<PeerMessage> r) {
        return ((Result.Err<PeerMessage>) r).failure();
    }

    /**
     * Returns a client with the given key, and starts a server with {@link #KEY} that it connects
     * to.
     */
    private TcpPeerNetwork clientOfNewServer(Bytes key) {
        TcpPeerNetwork b = newServer(ClusterKeys.of(List.of(KEY)));
        TcpPeerNetwork a = newNetwork(A, ClusterKeys.of(List.of(key)));
        a.setAddressResolver(id -> Optional.of(b.address()));
        return a;
    }

    /** The handler sleeps for the offset in milliseconds if that is more than 100. */
    private TcpPeerNetwork newServer(ClusterKeys keys) {
        TcpPeerNetwork b = newNetwork(B, keys);
        b.handle(
                WorkRead.class,
                (from, m) -> {
                    if (m.offset() > 100) {
                        java.util.concurrent.locks.LockSupport.parkNanos(m.offset() * 1_000_000L);
                    }
                    return expectedReply(m.offset());
                });
        return b;
    }

    private FaultInjectingProxy newProxy(TcpPeerNetwork target) throws Exception {
        return closeAfterTest(new FaultInjectingProxy(target.address()));
    }

    private TcpPeerNetwork newNetwork(NodeId id, ClusterKeys keys) {
        return closeAfterTest(
                TcpPeerNetwork.open(id, LOOPBACK_ANY_PORT, keys, SETTINGS, InstantSource.system()));
    }

    private <C extends AutoCloseable> C closeAfterTest(C c) {
        resources.add(c);
        return c;
    }
}
