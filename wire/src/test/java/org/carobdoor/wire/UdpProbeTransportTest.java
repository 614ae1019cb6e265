package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.NodeId;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MemberStatus;
import org.carobdoor.internal.membership.ProbeBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against datagrams that lose a field, exceed the MTU or are accepted without a valid key.
 */
final class UdpProbeTransportTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final InetSocketAddress LOOPBACK_ANY_PORT = new InetSocketAddress(LOOPBACK, 0);
    private static final Bytes KEY = Bytes.utf8("a cluster key of some length");
    private static final Bytes OTHER_KEY = Bytes.utf8("another cluster key, also long");

    private final EventLoopGroup group = TcpPeerNetwork.newEventLoops();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void everyBodyIsUnchangedByEncodingAndDecoding() {
        Stream.of(
                        new ProbeBody.Probe(7, new NodeId("b")),
                        new ProbeBody.ProbeAck(7, new NodeId("b")),
                        new ProbeBody.IndirectProbe(
                                8, new NodeId("c"), new InetSocketAddress(LOOPBACK, 9)),
                        new ProbeBody.MemberSync(List.of(1, -2), true),
                        new ProbeBody.MemberList())
                .map(UdpProbeTransportTest::datagram)
                .forEach(d -> assertThat(ProbeCodec.decode(ProbeCodec.encode(d))).isEqualTo(d));
        assertThat(ProbeBody.class.getPermittedSubclasses()).hasLength(5);
    }

    @Test
    void fullDatagramFitsTheMtu() {
        Datagram d = datagram(new ProbeBody.Probe(Long.MAX_VALUE, new NodeId("b".repeat(40))));
        assertThat(ProbeCodec.encode(d).length).isLessThan(1400);
    }

    @Test
    void onlyDatagramsWithAValidKeyAreReceived() throws Exception {
        ClusterKeys keys = ClusterKeys.of(List.of(KEY));
        BlockingQueue<Datagram> received = new LinkedBlockingQueue<>();
        InetSocketAddress bind = new InetSocketAddress(LOOPBACK, freePort());
        Datagram d = datagram(new ProbeBody.MemberList());
        try (var to = UdpProbeTransport.open(group, bind, keys);
                var from =
                        UdpProbeTransport.open(
                                group, LOOPBACK_ANY_PORT, ClusterKeys.of(List.of(OTHER_KEY)))) {
            to.listen(received::add);
            from.send(bind, d);
            for (int i = 0; i < 100 && to.counters().authenticationFailures() == 0; i++) {
                Thread.sleep(20);
            }
            assertThat(to.counters().authenticationFailures()).isEqualTo(1);
            assertThat(received).isEmpty();
            keys.replace(List.of(KEY, OTHER_KEY));
            from.send(bind, d);
            assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(d);
        }
    }

    private static int freePort() throws Exception {
        try (var s = new java.net.DatagramSocket(LOOPBACK_ANY_PORT)) {
            return s.getLocalPort();
        }
    }

    private static Datagram datagram(ProbeBody body) {
        List<MemberRecord> updates =
                IntStream.range(0, Datagram.MAX_UPDATES)
                        .mapToObj(i -> record("node-" + i))
                        .toList();
        return new Datagram(record("self"), updates, -5, 6, body);
    }

    private static MemberRecord record(String id) {
        return new MemberRecord(
                new NodeId(id + "-0123456789abcdef0123456789"),
                new AvailabilityZone("region-1-zone-a"),
                new InetSocketAddress(LOOPBACK, 7400),
                3,
                MemberStatus.SUSPECT,
                true,
                false);
    }
}
