package org.carobdoor.internal.routing;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.NodeId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.message.LoadReport;

/**
 * The state of all endpoints known to this node. Thread-safe.
 *
 * <p>The state of an endpoint only advances, regardless of the order in which updates arrive.
 * Failed probes and refusals do not change the state, except {@link Refusal#LEAVING}: failed probes
 * exclude an endpoint from routing until a probe succeeds, other refusals for {@link
 * ViewSettings#pauseAfterRefusal()}.
 *
 * <pre>{@code
 * view.apply(record);
 * view.onNotice(id, noticedAt, reclaimAt);
 * network.send(peer, view.takeLoadReport(50));
 * }</pre>
 *
 * <p>Guarantee P5: a send starts only through {@link Reservation#startSend()}, which returns false
 * once this node knows of the reclaim notice. A notice that arrives later than {@link
 * ViewSettings#leavingBound()} after it was issued can miss sends that started after the bound;
 * {@link #sendsAfterBound()} counts the endpoints where this happened.
 */
public final class EndpointView {
    private static final int MISSING_LISTS_UNTIL_GONE = 2;

    /** An endpoint, its outstanding tokens, and their difference from the last reported value. */
    private record LoadChange(EndpointId id, long tokens, long delta) {}

    private final ViewSettings settings;
    private final InstantSource clock;
    private final ViewShard[] shards;
    private final List<EndpointListener> listeners = new CopyOnWriteArrayList<>();
    private final Set<AvailabilityZone> unreachableZones = ConcurrentHashMap.newKeySet();
    private final LongAdder sendsAfterBound = new LongAdder();
    private final ReentrantLock listLock = new ReentrantLock();

    /** Consecutive lists that did not contain an endpoint. Guarded by {@link #listLock}. */
    private final Map<EndpointId, Integer> missingFromLists = new HashMap<>();

    private EndpointView(ViewSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        this.shards = new ViewShard[settings.shards()];
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new ViewShard();
        }
    }

    /** Returns an empty view. */
    public static EndpointView create(ViewSettings settings, InstantSource clock) {
        return new EndpointView(settings, clock);
    }

    /** Registers {@code listener}, which is called after each state change with no lock held. */
    public void onChange(EndpointListener listener) {
        listeners.add(listener);
    }

    /** Merges a record from the platform's list or from a peer. */
    public void apply(EndpointRecord record) {
        ViewShard shard = shard(record.id());
        EndpointSnapshot snapshot;
        boolean changed;
        shard.lock.lock();
        try {
            TrackedEndpoint endpoint = shard.find(record.id());
            if (endpoint == null) {
                endpoint = shard.add(record, settings.loadHalfLife().toMillis());
                changed = true;
            } else {
                EndpointState before = endpoint.record().state();
                if (endpoint.merge(record)) {
                    shard.touch(endpoint);
                }
                changed = endpoint.record().state() != before;
            }
            applyStateEffects(endpoint);
            snapshot = endpoint.snapshot(settings.loadHalfLife().toMillis());
        } finally {
            shard.lock.unlock();
        }
        notifyListeners(changed, snapshot);
    }

    /**
     * Merges a complete list from the platform. An endpoint that is missing from two consecutive
     * lists is marked as gone. After the first one it is only paused, because the platform can
     * return a list older than the previous one and a gone endpoint never returns.
     */
    public void applyList(Collection<EndpointRecord> list) {
        listLock.lock();
        try {
            for (EndpointRecord record : list) {
                missingFromLists.put(record.id(), 0);
                apply(record);
            }
            Set<EndpointId> listed = new HashSet<>();
            list.forEach(record -> listed.add(record.id()));
            for (var entry : missingFromLists.entrySet()) {
                if (!listed.contains(entry.getKey())) {
                    entry.setValue(entry.getValue() + 1);
                    onRefusal(entry.getKey(), Refusal.UNREACHABLE);
                    if (entry.getValue() == MISSING_LISTS_UNTIL_GONE) {
                        onGone(entry.getKey());
                    }
                }
            }
            missingFromLists.values().removeIf(count -> count >= MISSING_LISTS_UNTIL_GONE);
        } finally {
            listLock.unlock();
        }
    }

    /** Records a reclaim notice. Returns whether the endpoint is known. */
    public boolean onNotice(EndpointId id, Instant noticedAt, Instant reclaimAt) {
        return update(id, endpoint -> endpoint.recordReclaimNotice(noticedAt, reclaimAt));
    }

    /** Marks an endpoint as gone after its VM was removed. */
    public void onGone(EndpointId id) {
        update(id, endpoint -> endpoint.advanceTo(EndpointState.GONE));
    }

    /** Records that an endpoint refused a request or could not be connected to. */
    public void onRefusal(EndpointId id, Refusal refusal) {
        long until = clock.instant().plus(settings.pauseAfterRefusal()).toEpochMilli();
        update(
                id,
                endpoint -> {
                    if (refusal == Refusal.LEAVING) {
                        return endpoint.advanceTo(EndpointState.LEAVING);
                    }
                    endpoint.pausedUntilMillis = Math.max(endpoint.pausedUntilMillis, until);
                    return true;
                });
    }

    /** Records the result of a health probe. */
    public void onProbe(EndpointId id, boolean answered) {
        update(
                id,
                endpoint -> {
                    boolean before = endpoint.reachable;
                    endpoint.failedProbes = answered ? 0 : endpoint.failedProbes + 1;
                    endpoint.reachable = endpoint.failedProbes < settings.failedProbes();
                    return endpoint.reachable != before;
                });
    }

    /** Records the outstanding tokens reported by {@code peer}. */
    public void onPeerLoad(NodeId peer, LoadReport report) {
        long now = clock.millis();
        report.outstandingTokens()
                .forEach(
                        (id, tokens) ->
                                update(
                                        id,
                                        endpoint -> {
                                            endpoint.remoteLoad.updateFromPeer(peer, tokens, now);
                                            return true;
                                        }));
    }

    /** Records the load reported by an engine. */
    public void onEngineLoad(EndpointId id, EngineLoad load) {
        long now = clock.millis();
        update(
                id,
                endpoint -> {
                    long remoteTokens = Math.max(0, load.outstandingTokens() - endpoint.ownTokens);
                    endpoint.remoteLoad.updateFromEngine(
                            remoteTokens, load.measuredAt().toEpochMilli(), now);
                    return true;
                });
    }

    /** Discards the load reported by a dead node. */
    public void onPeerDead(NodeId peer) {
        long now = clock.millis();
        for (EndpointSnapshot snapshot : snapshots()) {
            update(
                    snapshot.id(),
                    endpoint -> {
                        endpoint.remoteLoad.removePeer(peer, now);
                        return true;
                    });
        }
    }

    /** Sets whether this node can open connections to endpoints in {@code zone}. */
    public void setZoneReachable(AvailabilityZone zone, boolean reachable) {
        if (reachable) {
            unreachableZones.remove(zone);
        } else {
            unreachableZones.add(zone);
        }
    }

    /** Returns whether this node can open connections to endpoints in {@code zone}. */
    public boolean isZoneReachable(AvailabilityZone zone) {
        return !unreachableZones.contains(zone);
    }

    /**
     * Adds one request and its tokens to the outstanding work of an endpoint. Returns empty if the
     * endpoint is unknown or not live.
     */
    public Optional<Reservation> reserve(EndpointId id, long promptTokens, long outputTokens) {
        ViewShard shard = shard(id);
        shard.lock.lock();
        try {
            TrackedEndpoint endpoint = shard.find(id);
            if (endpoint == null || endpoint.record().state() != EndpointState.LIVE) {
                return Optional.empty();
            }
            endpoint.ownTokens += promptTokens + outputTokens;
            endpoint.ownRequests++;
            shard.touch(endpoint);
            return Optional.of(
                    new Reservation(
                            shard,
                            endpoint,
                            settings.leavingBound(),
                            clock,
                            promptTokens,
                            outputTokens));
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Returns the outstanding tokens to send to peers, for at most {@code limit} endpoints: those
     * whose count has changed most since it was last reported. Call it at a fixed interval.
     */
    public LoadReport takeLoadReport(int limit) {
        List<LoadChange> changes = new ArrayList<>();
        forEachEndpoint(
                endpoint -> {
                    long delta = Math.abs(endpoint.ownTokens - endpoint.reportedTokens);
                    // Unchanged loads are repeated at the lowest priority because peers let
                    // reported loads decay.
                    if (delta > 0 || endpoint.ownTokens > 0) {
                        changes.add(
                                new LoadChange(endpoint.record().id(), endpoint.ownTokens, delta));
                    }
                });
        changes.sort((a, b) -> Long.compare(b.delta, a.delta));
        Map<EndpointId, Long> out = new HashMap<>();
        for (LoadChange c : changes.subList(0, Math.min(limit, changes.size()))) {
            out.put(c.id, c.tokens);
            update(
                    c.id,
                    endpoint -> {
                        endpoint.reportedTokens = c.tokens;
                        return false;
                    });
        }
        return new LoadReport(out);
    }

    /** Returns all known endpoints in any state. */
    public List<EndpointSnapshot> snapshots() {
        List<EndpointSnapshot> out = new ArrayList<>();
        forEachEndpoint(endpoint -> out.add(endpoint.snapshot(settings.loadHalfLife().toMillis())));
        return out;
    }

    /** Returns the endpoint with {@code id}, or empty if it is unknown. */
    public Optional<EndpointSnapshot> find(EndpointId id) {
        ViewShard shard = shard(id);
        shard.lock.lock();
        try {
            return Optional.ofNullable(shard.find(id))
                    .map(c -> c.snapshot(settings.loadHalfLife().toMillis()));
        } finally {
            shard.lock.unlock();
        }
    }

    /** Returns an empty snapshot, to be filled by {@link #refresh}. */
    public ViewSnapshot newSnapshot() {
        return new ViewSnapshot(shards.length);
    }

    /** Updates {@code snapshot}, which must have been created by this view. */
    public void refresh(ViewSnapshot snapshot) {
        long halfLife = settings.loadHalfLife().toMillis();
        for (int i = 0; i < shards.length; i++) {
            ViewShard shard = shards[i];
            if (shard.generation == snapshot.generation(i)) {
                continue;
            }
            shard.lock.lock();
            try {
                if (snapshot.generation(i) < shard.removedGeneration) {
                    snapshot.clear(i, this);
                }
                long seen = snapshot.generation(i);
                for (TrackedEndpoint c = shard.newest();
                        c != null && c.generation > seen;
                        c = c.older) {
                    snapshot.update(c.snapshot(halfLife));
                }
                snapshot.setGeneration(i, shard.generation);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    /** Removes endpoints that have been gone for {@link ViewSettings#forgetGoneAfter()}. */
    public void forgetGone() {
        Instant before = clock.instant().minus(settings.forgetGoneAfter());
        for (ViewShard shard : shards) {
            shard.lock.lock();
            try {
                shard.removeGone(before);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    /**
     * Returns the number of endpoints where a send started later than the bound after the reclaim
     * notice, because the notice reached this node too late.
     */
    public long sendsAfterBound() {
        return sendsAfterBound.sum();
    }

    int shardOf(EndpointId id) {
        int hash = id.value().hashCode();
        return Math.floorMod(hash ^ (hash >>> 16), shards.length);
    }

    private ViewShard shard(EndpointId id) {
        return shards[shardOf(id)];
    }

    private boolean update(EndpointId id, Predicate<TrackedEndpoint> update) {
        ViewShard shard = shard(id);
        EndpointSnapshot snapshot;
        boolean changed;
        shard.lock.lock();
        try {
            TrackedEndpoint endpoint = shard.find(id);
            if (endpoint == null) {
                return false;
            }
            EndpointState before = endpoint.record().state();
            if (update.test(endpoint)) {
                shard.touch(endpoint);
            }
            applyStateEffects(endpoint);
            changed = endpoint.record().state() != before;
            snapshot = endpoint.snapshot(settings.loadHalfLife().toMillis());
        } finally {
            shard.lock.unlock();
        }
        notifyListeners(changed, snapshot);
        return true;
    }

    /**
     * Records when the endpoint was first seen gone and counts a send after the bound. The caller
     * holds the lock of the shard.
     */
    private void applyStateEffects(TrackedEndpoint endpoint) {
        if (endpoint.record().state() == EndpointState.GONE && endpoint.goneSince == null) {
            endpoint.goneSince = clock.instant();
        }
        Instant lastSendAt = endpoint.lastSendAt;
        Optional<Instant> noticedAt = endpoint.record().noticedAt();
        if (lastSendAt != null
                && noticedAt.isPresent()
                && lastSendAt.isAfter(noticedAt.get().plus(settings.leavingBound()))) {
            sendsAfterBound.increment();
            endpoint.lastSendAt = null;
        }
    }

    private void notifyListeners(boolean changed, EndpointSnapshot snapshot) {
        if (changed) {
            listeners.forEach(l -> l.onChange(snapshot));
        }
    }

    private void forEachEndpoint(Consumer<TrackedEndpoint> action) {
        for (ViewShard shard : shards) {
            shard.lock.lock();
            try {
                shard.all().forEach(action);
            } finally {
                shard.lock.unlock();
            }
        }
    }
}
