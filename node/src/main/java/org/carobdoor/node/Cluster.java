package org.carobdoor.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.clients.catalogue.StoredEntry;
import org.carobdoor.clients.cloud.CloudClient;
import org.carobdoor.clients.cloud.ReclaimNotice;
import org.carobdoor.clients.kv.HttpKeyValueStore;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MembershipSettings;
import org.carobdoor.internal.replica.MergeRule;
import org.carobdoor.internal.replica.VersionedReplica;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.ViewSettings;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.node.catalogue.CatalogueItems;
import org.carobdoor.node.catalogue.CatalogueView;
import org.carobdoor.node.endpoint.EndpointFeed;
import org.carobdoor.node.endpoint.EndpointRecordCodec;
import org.carobdoor.node.membership.MembershipService;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.replica.ReplicaService;
import org.carobdoor.node.replica.ReplicaServiceSettings;
import org.carobdoor.node.settings.NodeSettings;
import org.carobdoor.wire.ClusterKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.carobdoor.wire.TransportSettings;
import org.carobdoor.wire.UdpProbeTransport;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this node knows of the platform, of the other nodes, of the catalogue and of endpoints. */
final class Cluster implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Cluster.class);

    private final HttpKeyValueStore store;
    private final CloudClient cloud;
    private final EventLoopGroup group;
    private final TcpPeerNetwork network;
    private final UdpProbeTransport probes;
    private final MembershipService membership;
    private final ReplicaService replica;
    private final EndpointView endpoints;
    private final EndpointRecordCodec records;
    private final CatalogueView catalogue = new CatalogueView();
    private final EndpointFeed feed;
    private final LoadExchange loads;
    private final String vmId;
    private final AtomicReference<@Nullable Instant> ownReclaim = new AtomicReference<>();

    private Cluster(
            NodeSettings settings,
            EventLoopGroup group,
            TcpPeerNetwork network,
            UdpProbeTransport probes,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random,
            NodeId id) {
        this.group = group;
        this.vmId = settings.vmId();
        this.network = network;
        this.probes = probes;
        String platform = settings.platform().toString();
        this.store = HttpKeyValueStore.create(platform, clock);
        this.cloud = CloudClient.create(platform, clock);
        this.records = new EndpointRecordCodec(new ObjectMapper());
        this.endpoints = EndpointView.create(viewSettings(settings), clock);
        this.membership =
                MembershipService.start(
                        MemberRecord.started(id, settings.zone(), settings.peer()),
                        settings.seeds(),
                        MembershipSettings.defaults(),
                        probes,
                        clock,
                        random);
        network.setAddressResolver(peer -> membership.find(peer).map(Member::peerAddress));
        MergeRule life = new MergeRule.LaterLifeWins(item -> (int) item.revision());
        this.replica =
                ReplicaService.start(
                        VersionedReplica.create(Map.of(EndpointRecordCodec.KEY_PREFIX, life)),
                        store,
                        CatalogueItems::toItem,
                        network,
                        membership,
                        ReplicaServiceSettings.defaults(),
                        clock,
                        random);
        // Listeners can be told out of order, so they read the current items.
        replica.onChange(items -> take(current(items)));
        take(replica.replica().list(""));
        membership.onChange(
                member -> {
                    if (member.state() == MemberState.DEAD) {
                        endpoints.onPeerDead(member.id());
                    }
                });
        this.loads = new LoadExchange(network, membership, endpoints, clock);
        this.feed =
                new EndpointFeed(
                        cloud,
                        endpoints,
                        replica::isWatcher,
                        this::publish,
                        this::onNotice,
                        metrics,
                        clock);
    }

    private static ViewSettings viewSettings(NodeSettings settings) {
        ViewSettings d = ViewSettings.defaults();
        return new ViewSettings(
                d.shards(),
                settings.requests().leavingBound(),
                d.failedProbes(),
                d.pauseAfterRefusal(),
                d.loadHalfLife(),
                d.forgetGoneAfter());
    }

    /** Binds the peer address and joins the other nodes. */
    static Result<Cluster> start(
            NodeId id,
            NodeSettings settings,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random) {
        ClusterKeys keys =
                ClusterKeys.of(settings.clusterKeys().stream().map(Bytes::utf8).toList());
        EventLoopGroup group = TcpPeerNetwork.newEventLoops();
        try {
            TcpPeerNetwork network =
                    TcpPeerNetwork.openOn(
                            group, id, settings.peer(), keys, TransportSettings.defaults(), clock);
            UdpProbeTransport probes = UdpProbeTransport.open(group, settings.peer(), keys);
            return Result.ok(
                    new Cluster(settings, group, network, probes, metrics, clock, random, id));
        } catch (Exception e) {
            // Netty throws the checked BindException without declaring it.
            group.shutdownGracefully();
            return Result.err(
                    FailureKind.REJECTED,
                    "peer.bind",
                    settings.peer().toString(),
                    "listen.peer: the address cannot be bound: " + e);
        }
    }

    private List<ReplicaItem> current(List<ReplicaItem> changed) {
        return changed.stream()
                .map(ReplicaItem::key)
                .map(replica.replica()::get)
                .flatMap(Optional::stream)
                .toList();
    }

    private void take(List<ReplicaItem> items) {
        CatalogueItems.apply(items, catalogue);
        for (ReplicaItem item : items) {
            if (item.key().startsWith(EndpointRecordCodec.KEY_PREFIX)
                    && records.decode(item) instanceof Result.Ok<EndpointRecord>(var record)) {
                endpoints.apply(record);
            }
        }
    }

    private void publish(List<EndpointRecord> changed) {
        replica.propose(changed.stream().map(records::encode).toList());
    }

    private void onNotice(ReclaimNotice notice) {
        LOG.info("VM {} is reclaimed at {}", notice.vmId(), notice.reclaimAt());
        onEntryNotice(notice.vmId(), notice.reclaimAt());
    }

    private void onEntryNotice(String noticedVm, Instant at) {
        if (!vmId.isEmpty() && noticedVm.equals(vmId)) {
            ownReclaim.compareAndSet(null, at);
        }
    }

    /** Spreads an entry that an operator has changed through this node. */
    void spread(StoredEntry entry) {
        replica.propose(List.of(CatalogueItems.toItem(entry)));
    }

    /** Returns why the node cannot serve yet, empty if it can. */
    String notReady() {
        if (!replica.isLoaded()) {
            return "the catalogue has not been read, neither from the platform nor from a peer";
        }
        boolean known =
                endpoints.images().stream().anyMatch(e -> e.record().state() == EndpointState.LIVE);
        return feed.hasListed() || known ? "" : "no endpoint is known yet";
    }

    /** Tells the other nodes that this one takes no new work. */
    void leave() {
        membership.leave();
    }

    Member self() {
        return membership.self();
    }

    List<Member> members() {
        return membership.members();
    }

    MembershipView view() {
        return membership;
    }

    PeerNetwork network() {
        return network;
    }

    KeyValueStore store() {
        return store;
    }

    CatalogueView catalogue() {
        return catalogue;
    }

    EndpointView endpoints() {
        return endpoints;
    }

    long replicaDigest() {
        return replica.replica().digest();
    }

    /** Returns when the platform takes the VM of this node, if that is announced. */
    Optional<Instant> reclaimAt() {
        return Optional.ofNullable(ownReclaim.get());
    }

    @Override
    public void close() {
        loads.close();
        feed.close();
        replica.close();
        membership.close();
        probes.close();
        network.close();
        group.shutdownGracefully();
        cloud.close();
        store.close();
    }
}
