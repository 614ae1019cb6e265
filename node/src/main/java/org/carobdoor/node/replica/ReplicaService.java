package org.carobdoor.node.replica;

import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.carobdoor.KeyValueStore;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.replica.VersionedReplica;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.ReplicaPull;
import org.carobdoor.node.membership.MembershipService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the versioned replica of this node equal to that of its peers and to the catalogue in the
 * key-value service.
 *
 * <pre>{@code
 * var replica = VersionedReplica.create(Map.of("endpoint/", new MergeRule.LaterLifeWins(rank)));
 * var service = ReplicaService.start(
 *         replica, store, toItem, network, membership, settings, clock, random);
 * service.onChange(items -> routing.refresh(items));
 * service.propose(List.of(endpointItem));
 * }</pre>
 *
 * <p>A change propagates in three ways: watchers push it to their zone and to the watchers of other
 * zones, which relay it to theirs; a node whose digest differs from that in a probe pulls; and
 * watchers periodically read the whole catalogue.
 */
public final class ReplicaService implements AutoCloseable {
    /** The prefix of the keys of catalogue entries in the replica. */
    public static final String ENTRY_PREFIX = "entry/";

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaService.class);

    private final List<Consumer<List<ReplicaItem>>> listeners = new CopyOnWriteArrayList<>();
    private final VersionedReplica replica;
    private final Function<VersionedValue, ReplicaItem> toItem;
    private final PeerNetwork network;
    private final MembershipService membership;
    private final PropagationPlan plan;
    private final CatalogueWatch watch;
    private final ReplicaPuller puller;
    private volatile boolean loaded;

    private ReplicaService(
            VersionedReplica replica,
            KeyValueStore store,
            Function<VersionedValue, ReplicaItem> toItem,
            PeerNetwork network,
            MembershipService membership,
            ReplicaServiceSettings settings,
            InstantSource clock,
            RandomGenerator random) {
        this.replica = replica;
        this.toItem = toItem;
        this.network = network;
        this.membership = membership;
        plan = new PropagationPlan(membership);
        watch =
                new CatalogueWatch(
                        store,
                        settings,
                        clock,
                        new Random(random.nextLong()),
                        new WatchCallbacks());
        puller =
                new ReplicaPuller(
                        replica,
                        network,
                        settings,
                        clock,
                        new Random(random.nextLong()),
                        this::onPulled);
    }

    /**
     * Starts synchronizing with the catalogue and the peers.
     *
     * @param toItem converts a value below {@code catalogue/entries/} into an item; see {@link
     *     #entryItem} for values without tombstones
     */
    public static ReplicaService start(
            VersionedReplica replica,
            KeyValueStore store,
            Function<VersionedValue, ReplicaItem> toItem,
            PeerNetwork network,
            MembershipService membership,
            ReplicaServiceSettings settings,
            InstantSource clock,
            RandomGenerator random) {
        ReplicaService s =
                new ReplicaService(
                        replica, store, toItem, network, membership, settings, clock, random);
        network.handle(ReplicaItems.class, s::onItems);
        network.handle(ReplicaPull.class, s::onPull);
        membership.setReplicaDigest(replica.digest());
        membership.onReplicaDifference(s.puller::onDifference);
        s.puller.start();
        s.watch.start();
        return s;
    }

    /**
     * Returns the item of a catalogue entry: key {@code entry/<name>}, the version of the value as
     * revision, and the bytes as they are.
     */
    public static ReplicaItem entryItem(VersionedValue v) {
        String name = v.key().substring(CatalogueWatch.PREFIX.length());
        return new ReplicaItem(ENTRY_PREFIX + name, v.version(), false, v.value());
    }

    /** Returns the replica, for reading. */
    public VersionedReplica replica() {
        return replica;
    }

    /** Returns whether the catalogue has been read once, from the service or from a peer. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns whether this node currently watches the catalogue. */
    public boolean isWatcher() {
        return plan.isWatcher();
    }

    /** Returns the number of calls to the key-value service abandoned without a response. */
    public long abandonedCalls() {
        return watch.abandonedCalls();
    }

    /** Returns the number of changes found by full reads that the watch had not reported. */
    public long missedChanges() {
        return watch.missedChanges();
    }

    /**
     * Calls {@code listener} with changed items, on an unspecified thread. Calls can arrive out of
     * order, so a listener reads the current item from {@link #replica}.
     */
    public void onChange(Consumer<List<ReplicaItem>> listener) {
        listeners.add(listener);
    }

    /**
     * Merges items discovered by this node, such as endpoint records, and propagates the changes.
     */
    public void propose(Collection<ReplicaItem> items) {
        List<ReplicaItem> changed = replica.apply(items);
        publishChanges(changed);
        if (plan.isWatcher()) {
            propagate(changed);
        } else {
            push(plan.ownWatchers(), changed, true);
        }
    }

    /** Merges a push from a peer and relays the changes if requested. A push has no reply. */
    private @Nullable PeerMessage onItems(NodeId from, ReplicaItems message) {
        List<ReplicaItem> changed = replica.apply(message.items());
        publishChanges(changed);
        if (message.relay()) {
            if (plan.isInOwnZone(from)) {
                propagate(changed);
            } else {
                push(plan.zonePeers(), changed, false);
            }
        }
        return null;
    }

    private ReplicaItems onPull(NodeId from, ReplicaPull pull) {
        int start = ThreadLocalRandom.current().nextInt(VersionedReplica.BUCKETS);
        int max = ReplicaServiceSettings.MAX_PULL_BYTES;
        return new ReplicaItems(replica.differing(pull.digests(), start, max), false);
    }

    private void onPulled(List<ReplicaItem> changed) {
        loaded |= replica.digest() != 0;
        publishChanges(changed);
    }

    private void propagate(List<ReplicaItem> changed) {
        push(plan.zonePeers(), changed, false);
        push(plan.otherWatchers(), changed, true);
    }

    private void push(List<NodeId> peers, List<ReplicaItem> changed, boolean relay) {
        if (!changed.isEmpty()) {
            ReplicaItems message = new ReplicaItems(changed, relay);
            peers.forEach(p -> network.send(p, message));
        }
    }

    private void publishChanges(List<ReplicaItem> changed) {
        if (changed.isEmpty()) {
            return;
        }
        membership.setReplicaDigest(replica.digest());
        for (Consumer<List<ReplicaItem>> l : listeners) {
            try {
                l.accept(changed);
            } catch (RuntimeException e) {
                LOG.error("A replica listener failed on {} items", changed.size(), e);
            }
        }
    }

    @Override
    public void close() {
        watch.close();
        puller.close();
    }

    /** Connects the watch with the replica and with membership. */
    private final class WatchCallbacks implements CatalogueWatch.Callbacks {
        @Override
        public boolean isWatcher() {
            return plan.isWatcher();
        }

        @Override
        public boolean isLoaded() {
            return loaded;
        }

        @Override
        public int onValues(List<VersionedValue> values) {
            List<ReplicaItem> changed = replica.apply(values.stream().map(toItem).toList());
            loaded = true;
            publishChanges(changed);
            if (plan.isWatcher()) {
                propagate(changed);
            }
            return changed.size();
        }

        @Override
        public void onPlatformReachable(boolean reachable) {
            LOG.info("The key-value service is {}", reachable ? "reachable" : "not reachable");
            membership.setPlatformReachable(reachable);
        }
    }
}
