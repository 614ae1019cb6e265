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
import org.carobdoor.node.catalogue.CatalogueReplicaItems;
import org.carobdoor.node.catalogue.CatalogueView;
import org.carobdoor.node.endpoint.EndpointDiscovery;
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

/**
 * The connections of this node to the platform and to other nodes, and its replicated state:
 * membership, catalogue and endpoints.
 */
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
    private final EndpointDiscovery feed;
    private final LoadReporter loadReporter;
    private final String vmId;
    private final AtomicReference<@Nullable Instant> ownReclaimAt = new AtomicReference<>();

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
        MergeRule endpointMergeRule = new MergeRule.LaterLifeWins(item -> (int) item.revision());
        this.replica =
                ReplicaService.start(
                        VersionedReplica.create(
                                Map.of(EndpointRecordCodec.KEY_PREFIX, endpointMergeRule)),
                        store,
                        CatalogueReplicaItems::toItem,
                        network,
                        membership,
                        ReplicaServiceSettings.defaults(),
                        clock,
                        random);
        // Listeners may be notified out of order, so they read the current items.
        replica.onChange(items -> applyItems(currentItems(items)));
        applyItems(replica.replica().list(""));
        membership.onChange(
                member -> {
                    if (member.state() == MemberState.DEAD) {
                        endpoints.onPeerDead(member.id());
                    }
                });
        this.loadReporter = new LoadReporter(network, membership, endpoints, clock);
        this.feed =
                new EndpointDiscovery(
                        cloud,
                        endpoints,
                        replica::isWatcher,
                        this::publishEndpoints,
                        this::onReclaimNotice,
                        metrics,
                        clock);
    }

    private static ViewSettings viewSettings(NodeSettings settings) {
        ViewSettings defaults = ViewSettings.defaults();
        return new ViewSettings(
                defaults.shards(),
                settings.requests().leavingBound(),
                defaults.failedProbes(),
                defaults.pauseAfterRefusal(),
                defaults.loadHalfLife(),
                defaults.forgetGoneAfter());
    }

    /** Binds the peer address and joins the cluster. */
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
                    "listen.peer: cannot bind the address: " + e);
        }
    }

    private List<ReplicaItem> currentItems(List<ReplicaItem> changed) {
        return changed.stream()
                .map(ReplicaItem::key)
                .map(replica.replica()::get)
                .flatMap(Optional::stream)
                .toList();
    }

    private void applyItems(List<ReplicaItem> items) {
        CatalogueReplicaItems.apply(items, catalogue);
        for (ReplicaItem item : items) {
            if (item.key().startsWith(EndpointRecordCodec.KEY_PREFIX)
                    && records.decode(item) instanceof Result.Ok<EndpointRecord>(var record)) {
                endpoints.apply(record);
            }
        }
    }

    private void publishEndpoints(List<EndpointRecord> changed) {
        replica.propose(changed.stream().map(records::encode).toList());
    }

    private void onReclaimNotice(ReclaimNotice notice) {
        LOG.info("VM {} will be reclaimed at {}", notice.vmId(), notice.reclaimAt());
        recordOwnReclaim(notice.vmId(), notice.reclaimAt());
    }

    private void recordOwnReclaim(String noticedVm, Instant reclaimAt) {
        if (!vmId.isEmpty() && noticedVm.equals(vmId)) {
            ownReclaimAt.compareAndSet(null, reclaimAt);
        }
    }

    /** Propagates an entry that an operator changed through this node to the other nodes. */
    void publishEntry(StoredEntry entry) {
        replica.propose(List.of(CatalogueReplicaItems.toItem(entry)));
    }

    /** Returns why the node is not ready to serve, or an empty string if it is ready. */
    String notReadyReason() {
        if (!replica.isLoaded()) {
            return "the catalogue has not been loaded from the platform or a peer";
        }
        boolean anyLive =
                endpoints.snapshots().stream()
                        .anyMatch(e -> e.record().state() == EndpointState.LIVE);
        return feed.hasListed() || anyLive ? "" : "no live endpoint has been discovered";
    }

    /** Announces to the other nodes that this node accepts no new work. */
    void leave() {
        membership.leave();
    }

    Member self() {
        return membership.self();
    }

    List<Member> members() {
        return membership.members();
    }

    MembershipView membershipView() {
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

    /** Returns the time at which the platform reclaims the VM of this node, if announced. */
    Optional<Instant> reclaimAt() {
        return Optional.ofNullable(ownReclaimAt.get());
    }

    @Override
    public void close() {
        loadReporter.close();
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
