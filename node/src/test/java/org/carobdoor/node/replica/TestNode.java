package org.carobdoor.node.replica;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Member;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MembershipSettings;
import org.carobdoor.internal.membership.ProbeTransport;
import org.carobdoor.internal.replica.MergeRule;
import org.carobdoor.internal.replica.VersionedReplica;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.node.membership.MembershipService;
import org.carobdoor.wire.ClusterKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.carobdoor.wire.TransportSettings;
import org.carobdoor.wire.UdpProbeTransport;

/** A node with loopback sockets whose messages can be dropped. */
final class TestNode implements AutoCloseable {
    final NodeId id;
    final AvailabilityZone zone;
    final TestCluster cluster;
    final TcpPeerNetwork tcp;
    final UdpProbeTransport udp;
    final MembershipService membership;
    final TestStore store;
    final ReplicaService service;
    volatile boolean losesPushes;
    volatile boolean losesPulls;

    TestNode(TestCluster cluster, EventLoopGroup group, String id, String zone, int seed) {
        this.id = new NodeId(id);
        this.zone = new AvailabilityZone(zone);
        this.cluster = cluster;
        ClusterKeys keys = ClusterKeys.of(List.of(Bytes.utf8("the cluster key of this test")));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InstantSource clock = InstantSource.system();
        tcp = TcpPeerNetwork.openOn(group, this.id, any, keys, TransportSettings.defaults(), clock);
        udp = UdpProbeTransport.open(group, tcp.address(), keys);
        membership =
                MembershipService.start(
                        MemberRecord.started(this.id, this.zone, tcp.address()),
                        cluster.seeds(),
                        MembershipSettings.defaults().faster(cluster.speed),
                        new Probes(),
                        clock,
                        new Random(seed));
        tcp.setAddressResolver(peer -> membership.find(peer).map(Member::peerAddress));
        store = new TestStore(cluster.store, () -> cluster.isIsolated(this.zone));
        service =
                ReplicaService.start(
                        VersionedReplica.create(
                                Map.of(
                                        "endpoint/",
                                        new MergeRule.LaterLifeWins(i -> (int) i.revision() / 2))),
                        store,
                        ReplicaService::entryItem,
                        new Network(),
                        membership,
                        ReplicaServiceSettings.defaults().faster(cluster.speed),
                        clock,
                        new Random(seed));
    }

    long revision(String key) {
        return service.replica().get(key).map(ReplicaItem::revision).orElse(0L);
    }

    @Override
    public void close() {
        service.close();
        membership.close();
        udp.close();
        tcp.close();
    }

    /** Drops datagrams to and from isolated zones. */
    private final class Probes implements ProbeTransport {
        @Override
        public void send(InetSocketAddress to, Datagram datagram) {
            if (cluster.connects(zone, to)) {
                udp.send(to, datagram);
            }
        }

        @Override
        public void listen(Consumer<Datagram> listener) {
            udp.listen(listener);
        }
    }

    /** Drops messages to and from isolated zones, and pushes or pulls if configured. */
    private final class Network implements PeerNetwork {
        @Override
        public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
            Result<PeerMessage> disconnected =
                    Result.err(FailureKind.UNKNOWN, "test", peer.value(), "cut off");
            boolean sent = connects(peer) && !losesPulls;
            Result<PeerMessage> r = sent ? tcp.call(peer, message, deadline) : disconnected;
            return connects(peer) ? r : disconnected;
        }

        @Override
        public void send(NodeId peer, PeerMessage message) {
            boolean lost = message instanceof ReplicaItems && cluster.node(peer).losesPushes;
            if (connects(peer) && !lost) {
                tcp.send(peer, message);
            }
        }

        @Override
        public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
            tcp.handle(type, (from, m) -> connects(from) ? handler.handle(from, m) : null);
        }

        private boolean connects(NodeId peer) {
            return membership
                    .find(peer)
                    .map(m -> cluster.connects(zone, m.peerAddress()))
                    .orElse(true);
        }
    }
}
