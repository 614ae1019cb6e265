package org.carobdoor.internal.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.store.StoreRevision;

/**
 * The endpoints registered in the platform's store, kept up to date by a watch.
 *
 * <p>While the store is unavailable, the last known endpoints are kept. During an outage of the
 * store ({@link StoreOutage}) the leases of running endpoints expire, and these endpoints register
 * again within about two seconds of its end. An entry that is missing right after an outage
 * therefore stays in use for {@link #LAPSE_GRACE_NANOS}, then gets no new requests, and is removed
 * after {@link #LAPSE_DROP_NANOS}.
 *
 * <p>An endpoint that has said in an answer that it is leaving gets no new requests until it starts
 * again, whatever the store says.
 *
 * <p>A store that comes back from an older copy lacks endpoints that have registered since, which
 * are kept as after an outage, and lists some that have left since ({@link FormerEntries}).
 *
 * <p>Not thread-safe.
 */
public final class EndpointDirectory {
    /**
     * Time after the end of an outage during which a missing entry stays in use. The platform
     * allows a removed endpoint to be used for at most two seconds; the difference covers the delay
     * of the removal notice, the interval of {@link #expire}, and the transit of the last request.
     */
    public static final long LAPSE_GRACE_NANOS = 1_600_000_000L;

    /**
     * Time after the end of an outage after which a missing entry is removed; running endpoints
     * have registered again by then.
     */
    public static final long LAPSE_DROP_NANOS = 2_000_000_000L;

    /** The interval at which endpoints renew their entries, if the platform states none. */
    public static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(1_200);

    /**
     * How long an endpoint that is no longer listed is remembered as leaving; the store or a peer
     * may list it again, for example after an outage, until it has ended.
     */
    static final long LEAVING_MEMORY_NANOS = 600_000_000_000L;

    /**
     * An endpoint that has said that it is leaving.
     *
     * @param entry its entry at that time, which tells its starts apart
     * @param saidAtNanos when its last such answer arrived
     */
    private record Leaving(EndpointEntry entry, long saidAtNanos) {}

    /** An entry expires after three heartbeats; the first may be a fraction of one late. */
    private static final int EXPIRY_HEARTBEATS = 4;

    private record Listed(EndpointEntry entry, long revision) {}

    private final Map<EndpointId, Listed> listed = new HashMap<>();
    private final Map<EndpointId, Long> missingUntilNanos = new HashMap<>();
    private final Map<EndpointId, Leaving> leaving = new HashMap<>();
    private final DirectoryListener listener;
    private boolean loaded;
    private long revision;
    private final StoreOutage outage;
    private final FormerEntries former;

    /** The last time that was given, for calls without one. */
    private long lastNanos;

    private EndpointDirectory(DirectoryListener listener, Duration heartbeat) {
        this.listener = listener;
        this.outage = StoreOutage.create(heartbeat);
        this.former = new FormerEntries(EXPIRY_HEARTBEATS * heartbeat.toNanos());
    }

    /** Returns an empty directory. */
    public static EndpointDirectory create(DirectoryListener listener) {
        return create(listener, DEFAULT_HEARTBEAT);
    }

    /**
     * Returns an empty directory.
     *
     * @param heartbeat the interval at which endpoints renew their entries
     */
    public static EndpointDirectory create(DirectoryListener listener, Duration heartbeat) {
        return new EndpointDirectory(listener, heartbeat);
    }

    /** Returns whether a full list has been read from the store. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the store revision up to which this directory is complete: an endpoint that it does
     * not have was not registered at that revision.
     */
    public long revision() {
        return revision;
    }

    /** Returns the entry of {@code id}, if there is one. */
    public Optional<EndpointEntry> find(EndpointId id) {
        return Optional.ofNullable(listed.get(id)).map(Listed::entry);
    }

    /** Returns all entries, in no particular order. */
    public List<EndpointEntry> entries() {
        return listed.values().stream().map(Listed::entry).toList();
    }

    /**
     * Returns the store revision of the registration of {@code id}; empty if it is not registered,
     * also while its entry is kept after an outage.
     */
    public OptionalLong registeredRevision(EndpointId id) {
        Listed current = listed.get(id);
        return current == null || missingUntilNanos.containsKey(id)
                ? OptionalLong.empty()
                : OptionalLong.of(current.revision);
    }

    /**
     * Applies a write of an entry, unless it is older than the known revision, or than the removal
     * of an endpoint that is not known any more.
     */
    public void put(EndpointEntry registered, long entryRevision, NewsSource source) {
        Listed before = listed.get(registered.id());
        long known = before == null ? revision : before.revision;
        if (entryRevision <= known) {
            return;
        }
        EndpointEntry usable = former.usable(registered, entryRevision, lastNanos);
        EndpointEntry entry = isLeaving(usable) ? usable.withoutAccepting() : usable;
        if (!registered.accepting()) {
            former.record(registered, true, entryRevision, lastNanos);
        }
        missingUntilNanos.remove(entry.id());
        listed.put(entry.id(), new Listed(entry, entryRevision));
        EndpointNews news = new EndpointNews(source, entryRevision);
        if (before == null) {
            listener.started(entry, news);
        } else if (isRestart(before, entry, entryRevision)) {
            listener.removed(before.entry, news);
            listener.started(entry, news);
        } else if (!before.entry.equals(entry)) {
            listener.changed(before.entry, entry, news);
        }
    }

    private static boolean isRestart(Listed before, EndpointEntry entry, long entryRevision) {
        // In an older copy, the sequence of a start is lower than it was.
        return StoreRevision.isLaterEra(entryRevision, before.revision)
                ? !FormerEntries.isSameStart(before.entry, entry)
                : before.entry.isRestartedAs(entry);
    }

    /** Applies the removal of an entry; right after an outage, the entry is kept temporarily. */
    public void remove(EndpointId id, long removalRevision, NewsSource source, long nowNanos) {
        lastNanos = nowNanos;
        revision = Math.max(revision, removalRevision);
        Listed before = listed.get(id);
        if (before == null || before.revision >= removalRevision) {
            return;
        }
        boolean lostByStore =
                StoreRevision.isLaterEra(removalRevision, before.revision)
                        && !outage.othersWereServed();
        if (before.entry.accepting() && lostByStore) {
            missingUntilNanos.putIfAbsent(id, nowNanos + LAPSE_GRACE_NANOS);
        } else if (before.entry.accepting()
                && outage.isLapsePossible(before.entry.zone(), nowNanos)) {
            missingUntilNanos.putIfAbsent(id, outage.graceEndsAtNanos());
        } else {
            removeEntry(id, new EndpointNews(source, removalRevision));
        }
    }

    /** Applies a write of an entry that names no endpoint to use, such as one of another writer. */
    public void putUnusable(EndpointId id, long entryRevision, NewsSource source) {
        Listed before = listed.get(id);
        if (before != null && before.revision < entryRevision) {
            removeEntry(id, new EndpointNews(source, entryRevision));
        }
    }

    /**
     * Replaces all entries with a full list, which is complete at {@code storeRevision}; single
     * entries may be newer.
     */
    public void replaceAll(
            Collection<EndpointEntry> entries,
            Map<EndpointId, Long> revisions,
            long storeRevision,
            NewsSource source,
            long nowNanos) {
        lastNanos = nowNanos;
        boolean newEra = StoreRevision.isLaterEra(storeRevision, revision);
        Set<EndpointId> present = new HashSet<>();
        for (EndpointEntry e : entries) {
            if (newEra && FormerEntries.isEarlierStart(e, find(e.id()).orElse(null))) {
                // The copy is from before the restart; it lacks the entry that is known.
                continue;
            }
            present.add(e.id());
            put(e, revisions.getOrDefault(e.id(), storeRevision), source);
        }
        for (EndpointId id : List.copyOf(listed.keySet())) {
            if (!present.contains(id)) {
                remove(id, storeRevision, source, nowNanos);
            }
        }
        revision = Math.max(revision, storeRevision);
        loaded = true;
    }

    /** Records that all changes up to {@code storeRevision} have been applied. */
    public void advance(long storeRevision) {
        revision = Math.max(revision, storeRevision);
    }

    /** Records that the endpoint of {@code entry} has said in an answer that it is leaving. */
    public void recordLeaving(EndpointEntry entry, long nowNanos) {
        EndpointId id = entry.id();
        Listed current = listed.get(id);
        if (current != null && !current.entry.isSameStartAs(entry)) {
            // A late answer of an earlier start.
            return;
        }
        leaving.put(id, new Leaving(entry, nowNanos));
        if (current != null) {
            stopAccepting(id, new EndpointNews(NewsSource.answer(id), current.revision));
        }
    }

    private boolean isLeaving(EndpointEntry entry) {
        Leaving l = leaving.get(entry.id());
        return l != null && l.entry.isSameStartAs(entry);
    }

    /** Records that the store does not respond to this node. */
    public void recordStoreUnavailable(long nowNanos) {
        outage.recordFailure(nowNanos);
    }

    /** Records that the store responds to this node. */
    public void recordStoreAvailable(long nowNanos) {
        outage.recordReply(nowNanos, LAPSE_GRACE_NANOS);
    }

    /** Records the store revision up to which another node is complete. */
    public void recordRevisionOfPeer(long peerRevision, long nowNanos) {
        outage.recordHeard(peerRevision, nowNanos);
    }

    /** Records that a node of a zone, which may be that of this node, has sent a message. */
    public void recordZoneHeard(AvailabilityZone zone, long nowNanos) {
        outage.recordZoneHeard(zone, nowNanos);
    }

    /**
     * Stops new requests to entries that are still missing after an outage, and later removes them.
     * Forgets endpoints that said long ago that they are leaving and are not listed.
     */
    public void expire(long nowNanos) {
        lastNanos = nowNanos;
        former.expire(nowNanos).forEach(this::useAgain);
        List<EndpointId> gone = new ArrayList<>();
        missingUntilNanos.forEach(
                (id, until) -> {
                    if (nowNanos - until >= LAPSE_DROP_NANOS - LAPSE_GRACE_NANOS) {
                        gone.add(id);
                    } else if (nowNanos - until >= 0) {
                        stopAccepting(id, lapseOf(id));
                    }
                });
        leaving.entrySet()
                .removeIf(
                        l ->
                                !listed.containsKey(l.getKey())
                                        && nowNanos - l.getValue().saidAtNanos
                                                > LEAVING_MEMORY_NANOS);
        gone.forEach(id -> removeEntry(id, lapseOf(id)));
    }

    /** Uses an entry that was held back, and that a gone endpoint would have lost by now. */
    private void useAgain(EndpointEntry registered) {
        Listed current = listed.get(registered.id());
        if (current != null
                && current.entry.equals(registered.withoutAccepting())
                && !isLeaving(registered)) {
            listed.put(registered.id(), new Listed(registered, current.revision));
            EndpointNews news = new EndpointNews(NewsSource.lapse(), current.revision);
            listener.changed(current.entry, registered, news);
        }
    }

    private void stopAccepting(EndpointId id, EndpointNews news) {
        Listed last = listed.get(id);
        if (last != null && last.entry.accepting()) {
            EndpointEntry unused = last.entry.withoutAccepting();
            listed.put(id, new Listed(unused, last.revision));
            listener.changed(last.entry, unused, news);
        }
    }

    private EndpointNews lapseOf(EndpointId id) {
        Listed last = listed.get(id);
        return new EndpointNews(NewsSource.lapse(), last == null ? 0 : last.revision);
    }

    private void removeEntry(EndpointId id, EndpointNews news) {
        missingUntilNanos.remove(id);
        Listed last = listed.remove(id);
        if (last != null) {
            former.record(last.entry, false, Math.max(revision, last.revision), lastNanos);
            listener.removed(last.entry, news);
        }
    }
}
