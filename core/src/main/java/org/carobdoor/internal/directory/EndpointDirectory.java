package org.carobdoor.internal.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.EndpointId;

/**
 * The endpoints that the platform's store lists, kept in step by its changes.
 *
 * <p>While the store is away the last known endpoints stay. Entries lapse during an outage although
 * their endpoints run, and running endpoints write them again within about two seconds of its end.
 * So an entry that is missing right after an outage stays in use for {@link #LAPSE_GRACE_NANOS},
 * then gets no new requests, and is dropped after {@link #LAPSE_DROP_NANOS}.
 *
 * <p>Belongs to one thread.
 */
public final class EndpointDirectory {
    /**
     * How long after the store's return a missing entry is used: the platform's bound for the use
     * of a removed endpoint is two seconds, from which come off the time until the removal is heard
     * of, the interval of {@link #expire}, and the way of the last request.
     */
    public static final long LAPSE_GRACE_NANOS = 1_600_000_000L;

    /** How long after the store's return a missing entry is kept: running endpoints are back. */
    public static final long LAPSE_DROP_NANOS = 2_000_000_000L;

    /** An outage this long can have let entries lapse: a lease of an entry runs over seconds. */
    private static final long LAPSING_OUTAGE_NANOS = 1_000_000_000L;

    private record Listed(EndpointEntry entry, long revision) {}

    private final Map<EndpointId, Listed> listed = new HashMap<>();
    private final Map<EndpointId, Long> missingUntilNanos = new HashMap<>();
    private final DirectoryListener listener;
    private boolean loaded;
    private long revision;
    private boolean storeAway;
    private long storeAwaySinceNanos;
    private boolean lapsePossible;
    private long lapseEndsAtNanos;

    private EndpointDirectory(DirectoryListener listener) {
        this.listener = listener;
    }

    /** Returns an empty directory. */
    public static EndpointDirectory create(DirectoryListener listener) {
        return new EndpointDirectory(listener);
    }

    /** Returns whether the store's list has been read once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the store's revision up to which changes are known. */
    public long revision() {
        return revision;
    }

    /** Returns the entry of {@code id}. */
    public Optional<EndpointEntry> find(EndpointId id) {
        return Optional.ofNullable(listed.get(id)).map(Listed::entry);
    }

    /** Returns all entries, in no order. */
    public List<EndpointEntry> entries() {
        return listed.values().stream().map(Listed::entry).toList();
    }

    /** Applies a written entry, unless a later change of it is known. */
    public void put(EndpointEntry entry, long entryRevision) {
        Listed before = listed.get(entry.id());
        if (before != null && before.revision >= entryRevision) {
            return;
        }
        missingUntilNanos.remove(entry.id());
        listed.put(entry.id(), new Listed(entry, entryRevision));
        revision = Math.max(revision, entryRevision);
        if (before == null) {
            listener.started(entry);
        } else if (before.entry.isRestartedAs(entry)) {
            listener.removed(before.entry);
            listener.started(entry);
        } else if (!before.entry.equals(entry)) {
            listener.changed(before.entry, entry);
        }
    }

    /** Applies the removal of an entry; right after an outage the entry is kept for a while. */
    public void remove(EndpointId id, long removalRevision, long nowNanos) {
        revision = Math.max(revision, removalRevision);
        Listed before = listed.get(id);
        if (before == null || before.revision >= removalRevision) {
            return;
        }
        if (before.entry.accepting() && isLapsePossible(nowNanos)) {
            missingUntilNanos.putIfAbsent(id, lapseEndsAtNanos);
        } else {
            drop(id);
        }
    }

    /** Replaces the entries by a full list that is current at {@code storeRevision}. */
    public void replaceAll(
            Collection<EndpointEntry> entries,
            Map<EndpointId, Long> revisions,
            long storeRevision,
            long nowNanos) {
        Set<EndpointId> present = new HashSet<>();
        for (EndpointEntry e : entries) {
            present.add(e.id());
            put(e, revisions.getOrDefault(e.id(), storeRevision));
        }
        for (EndpointId id : List.copyOf(listed.keySet())) {
            if (!present.contains(id)) {
                remove(id, storeRevision, nowNanos);
            }
        }
        revision = Math.max(revision, storeRevision);
        loaded = true;
    }

    /** Notes that all changes up to {@code storeRevision} have been applied. */
    public void advance(long storeRevision) {
        revision = Math.max(revision, storeRevision);
    }

    /** Notes that the store does not answer. */
    public void storeLost(long nowNanos) {
        if (!storeAway) {
            storeAway = true;
            storeAwaySinceNanos = nowNanos;
        }
    }

    /** Notes that the store answers. */
    public void storeAnswered(long nowNanos) {
        if (storeAway) {
            storeAway = false;
            if (nowNanos - storeAwaySinceNanos >= LAPSING_OUTAGE_NANOS) {
                lapsePossible = true;
                lapseEndsAtNanos = nowNanos + LAPSE_GRACE_NANOS;
            }
        }
    }

    /** Ends the use of the entries that stayed missing after an outage, then drops them. */
    public void expire(long nowNanos) {
        List<EndpointId> gone = new ArrayList<>();
        missingUntilNanos.forEach(
                (id, until) -> {
                    if (nowNanos - until >= LAPSE_DROP_NANOS - LAPSE_GRACE_NANOS) {
                        gone.add(id);
                    } else if (nowNanos - until >= 0) {
                        endUse(id);
                    }
                });
        gone.forEach(this::drop);
        lapsePossible &= nowNanos - lapseEndsAtNanos < 0;
    }

    private boolean isLapsePossible(long nowNanos) {
        return storeAway || (lapsePossible && nowNanos - lapseEndsAtNanos < 0);
    }

    private void endUse(EndpointId id) {
        Listed last = listed.get(id);
        if (last != null && last.entry.accepting()) {
            EndpointEntry unused = last.entry.withoutAccepting();
            listed.put(id, new Listed(unused, last.revision));
            listener.changed(last.entry, unused);
        }
    }

    private void drop(EndpointId id) {
        missingUntilNanos.remove(id);
        Listed last = listed.remove(id);
        if (last != null) {
            listener.removed(last.entry);
        }
    }
}
