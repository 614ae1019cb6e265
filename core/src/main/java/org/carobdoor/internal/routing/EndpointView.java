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
 * What this node knows of endpoints. Thread-safe.
 *
 * <p>The state of an endpoint only moves forward, whatever order the news arrive in. Failed probes
 * and refusals for lack of capacity do not change the state: they keep an endpoint out of routing
 * until it answers again.
 *
 * <pre>{@code
 * view.apply(record);
 * view.onNotice(id, noticedAt, reclaimAt);
 * network.send(peer, view.takeLoadReport(50));
 * }</pre>
 *
 * <p>Promise P5: a send starts only through {@link Reservation#startSend()}, which refuses once the
 * notice is known here. A notice that becomes known later than {@link ViewSettings#leavingBound()}
 * cannot be obeyed in time; {@link #sendsAfterBound()} counts endpoints for which that mattered.
 */
public final class EndpointView {
    private static final int LISTS_UNTIL_GONE = 2;

    /** An endpoint, its outstanding tokens, and by how much peers are wrong. */
    private record Change(EndpointId id, long tokens, long size) {}

    private final ViewSettings settings;
    private final InstantSource clock;
    private final ViewShard[] shards;
    private final List<EndpointListener> listeners = new CopyOnWriteArrayList<>();
    private final Set<AvailabilityZone> unreachableZones = ConcurrentHashMap.newKeySet();
    private final LongAdder sendsAfterBound = new LongAdder();
    private final ReentrantLock listLock = new ReentrantLock();

    /** The number of lists in a row that lacked an endpoint. Guarded by {@link #listLock}. */
    private final Map<EndpointId, Integer> missingFromLists = new HashMap<>();

    private EndpointView(ViewSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        this.shards = new ViewShard[settings.shards()];
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new ViewShard();
        }
    }

    /** Returns a view that knows no endpoint. */
    public static EndpointView create(ViewSettings settings, InstantSource clock) {
        return new EndpointView(settings, clock);
    }

    /** Calls {@code listener} after each change of state of an endpoint, with no lock held. */
    public void onChange(EndpointListener listener) {
        listeners.add(listener);
    }

    /** Takes over a description from the platform's list or a peer. */
    public void apply(EndpointRecord record) {
        ViewShard shard = shard(record.id());
        EndpointSnapshot image;
        boolean changed;
        shard.lock.lock();
        try {
            EndpointCell cell = shard.find(record.id());
            if (cell == null) {
                cell = shard.add(record, settings.loadHalfLife().toMillis());
                changed = true;
            } else {
                EndpointState before = cell.record().state();
                if (cell.merge(record)) {
                    shard.touch(cell);
                }
                changed = cell.record().state() != before;
            }
            settle(cell);
            image = cell.image(settings.loadHalfLife().toMillis());
        } finally {
            shard.lock.unlock();
        }
        tell(changed, image);
    }

    /**
     * Takes over the whole of the platform's list. An endpoint that one list had and the next two
     * lack is gone; after the first of the two it is only paused, since an answer can be older than
     * the one before and a gone endpoint never returns.
     */
    public void applyList(Collection<EndpointRecord> list) {
        listLock.lock();
        try {
            for (EndpointRecord record : list) {
                missingFromLists.put(record.id(), 0);
                apply(record);
            }
            Set<EndpointId> now = new HashSet<>();
            list.forEach(record -> now.add(record.id()));
            for (var entry : missingFromLists.entrySet()) {
                if (!now.contains(entry.getKey())) {
                    entry.setValue(entry.getValue() + 1);
                    onRefusal(entry.getKey(), Refusal.UNREACHABLE);
                    if (entry.getValue() == LISTS_UNTIL_GONE) {
                        onGone(entry.getKey());
                    }
                }
            }
            missingFromLists.values().removeIf(n -> n >= LISTS_UNTIL_GONE);
        } finally {
            listLock.unlock();
        }
    }

    /** Notes a reclaim notice. Returns whether the endpoint is known. */
    public boolean onNotice(EndpointId id, Instant noticedAt, Instant reclaimAt) {
        return change(id, cell -> cell.notice(noticedAt, reclaimAt));
    }

    /** Notes that the VM is no longer there. */
    public void onGone(EndpointId id) {
        change(id, cell -> cell.moveTo(EndpointState.GONE));
    }

    /** Notes that an endpoint did not take a request. */
    public void onRefusal(EndpointId id, Refusal refusal) {
        long until = clock.instant().plus(settings.pauseAfterRefusal()).toEpochMilli();
        change(
                id,
                cell -> {
                    if (refusal == Refusal.LEAVING) {
                        return cell.moveTo(EndpointState.LEAVING);
                    }
                    cell.pausedUntilMillis = Math.max(cell.pausedUntilMillis, until);
                    return true;
                });
    }

    /** Notes the outcome of a probe. */
    public void onProbe(EndpointId id, boolean answered) {
        change(
                id,
                cell -> {
                    boolean before = cell.reachable;
                    cell.failedProbes = answered ? 0 : cell.failedProbes + 1;
                    cell.reachable = cell.failedProbes < settings.failedProbes();
                    return cell.reachable != before;
                });
    }

    /** Notes the tokens that {@code peer} has outstanding. */
    public void onPeerLoad(NodeId peer, LoadReport report) {
        long now = clock.millis();
        report.outstandingTokens()
                .forEach(
                        (id, tokens) ->
                                change(
                                        id,
                                        cell -> {
                                            cell.others.report(peer, tokens, now);
                                            return true;
                                        }));
    }

    /** Notes the load that an engine reports of itself. */
    public void onEngineLoad(EndpointId id, EngineLoad load) {
        long now = clock.millis();
        change(
                id,
                cell -> {
                    long others = Math.max(0, load.outstandingTokens() - cell.ownTokens);
                    cell.others.reportByEngine(others, load.measuredAt().toEpochMilli(), now);
                    return true;
                });
    }

    /** Forgets the load reported by a node that is dead. */
    public void onPeerDead(NodeId peer) {
        long now = clock.millis();
        for (EndpointSnapshot image : snapshots()) {
            change(
                    image.id(),
                    cell -> {
                        cell.others.forget(peer, now);
                        return true;
                    });
        }
    }

    /** Notes whether this node can open connections to endpoints in {@code zone}. */
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
     * Counts {@code tokens} and one request as outstanding at an endpoint, if it takes new work.
     */
    public Optional<Reservation> reserve(EndpointId id, long promptTokens, long outputTokens) {
        ViewShard shard = shard(id);
        shard.lock.lock();
        try {
            EndpointCell cell = shard.find(id);
            if (cell == null || cell.record().state() != EndpointState.LIVE) {
                return Optional.empty();
            }
            cell.ownTokens += promptTokens + outputTokens;
            cell.ownRequests++;
            shard.touch(cell);
            return Optional.of(
                    new Reservation(
                            shard,
                            cell,
                            settings.leavingBound(),
                            clock,
                            promptTokens,
                            outputTokens));
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Returns the outstanding tokens that peers should learn: at most {@code limit} endpoints,
     * those whose number has changed most since they were last reported. Call it at a fixed
     * interval.
     */
    public LoadReport takeLoadReport(int limit) {
        List<Change> changes = new ArrayList<>();
        forEachCell(
                cell -> {
                    long size = Math.abs(cell.ownTokens - cell.reportedTokens);
                    // Unchanged loads are repeated at lowest rank, since peers let them decay.
                    if (size > 0 || cell.ownTokens > 0) {
                        changes.add(new Change(cell.record().id(), cell.ownTokens, size));
                    }
                });
        changes.sort((a, b) -> Long.compare(b.size, a.size));
        Map<EndpointId, Long> out = new HashMap<>();
        for (Change c : changes.subList(0, Math.min(limit, changes.size()))) {
            out.put(c.id, c.tokens);
            change(
                    c.id,
                    cell -> {
                        cell.reportedTokens = c.tokens;
                        return false;
                    });
        }
        return new LoadReport(out);
    }

    /** Returns all endpoints that are known, whatever their state. */
    public List<EndpointSnapshot> snapshots() {
        List<EndpointSnapshot> out = new ArrayList<>();
        forEachCell(cell -> out.add(cell.image(settings.loadHalfLife().toMillis())));
        return out;
    }

    /** Returns one endpoint, if it is known. */
    public Optional<EndpointSnapshot> find(EndpointId id) {
        ViewShard shard = shard(id);
        shard.lock.lock();
        try {
            return Optional.ofNullable(shard.find(id))
                    .map(c -> c.image(settings.loadHalfLife().toMillis()));
        } finally {
            shard.lock.unlock();
        }
    }

    /** Returns an empty snapshot for use with {@link #refresh}. */
    public ViewSnapshot newSnapshot() {
        return new ViewSnapshot(shards.length);
    }

    /** Brings {@code snapshot}, which must have been made by this view, up to date. */
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
                for (EndpointCell c = shard.newest();
                        c != null && c.generation > seen;
                        c = c.older) {
                    snapshot.update(c.image(halfLife));
                }
                snapshot.setGeneration(i, shard.generation);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    /** Drops endpoints that have been gone for {@link ViewSettings#forgetGoneAfter()}. */
    public void forgetGone() {
        Instant before = clock.instant().minus(settings.forgetGoneAfter());
        for (ViewShard shard : shards) {
            shard.lock.lock();
            try {
                shard.forgetGone(before);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    /**
     * Returns how many endpoints had a send started later than the bound after their notice,
     * because the notice arrived here after the bound.
     */
    public long sendsAfterBound() {
        return sendsAfterBound.sum();
    }

    int shardOf(EndpointId id) {
        int h = id.value().hashCode();
        return Math.floorMod(h ^ (h >>> 16), shards.length);
    }

    private ViewShard shard(EndpointId id) {
        return shards[shardOf(id)];
    }

    private boolean change(EndpointId id, Predicate<EndpointCell> update) {
        ViewShard shard = shard(id);
        EndpointSnapshot image;
        boolean changed;
        shard.lock.lock();
        try {
            EndpointCell cell = shard.find(id);
            if (cell == null) {
                return false;
            }
            EndpointState before = cell.record().state();
            if (update.test(cell)) {
                shard.touch(cell);
            }
            settle(cell);
            changed = cell.record().state() != before;
            image = cell.image(settings.loadHalfLife().toMillis());
        } finally {
            shard.lock.unlock();
        }
        tell(changed, image);
        return true;
    }

    /** Notes consequences of a change of state. Called with the lock of the shard held. */
    private void settle(EndpointCell cell) {
        if (cell.record().state() == EndpointState.GONE && cell.goneSince == null) {
            cell.goneSince = clock.instant();
        }
        Instant lastSendAt = cell.lastSendAt;
        Optional<Instant> noticedAt = cell.record().noticedAt();
        if (lastSendAt != null
                && noticedAt.isPresent()
                && lastSendAt.isAfter(noticedAt.get().plus(settings.leavingBound()))) {
            sendsAfterBound.increment();
            cell.lastSendAt = null;
        }
    }

    private void tell(boolean changed, EndpointSnapshot image) {
        if (changed) {
            listeners.forEach(l -> l.onChange(image));
        }
    }

    private void forEachCell(Consumer<EndpointCell> action) {
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
