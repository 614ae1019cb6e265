package org.carobdoor.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.Rendezvous;

/** The records of all known nodes, their deadlines, and the digests of the live nodes. */
final class MemberTable {
    /** With 380 nodes, a bucket contains about 12 records, which fit into two datagrams. */
    static final int BUCKETS = 32;

    private static final class Entry {
        final MemberRecord record;

        /** When a suspected node is declared dead, or a dead node is removed. */
        Instant deadline;

        int confirmationProbes;

        Entry(MemberRecord record, Instant deadline) {
            this.record = record;
            this.deadline = deadline;
        }
    }

    private final Map<NodeId, Entry> entries = new TreeMap<>();
    private final long[] digests = new long[BUCKETS];
    private int liveCount;

    Optional<MemberRecord> find(NodeId id) {
        return Optional.ofNullable(entries.get(id)).map(e -> e.record);
    }

    /** Returns all records, ordered by id. */
    List<MemberRecord> records() {
        List<MemberRecord> all = new ArrayList<>(entries.size());
        entries.values().forEach(e -> all.add(e.record));
        return all;
    }

    /** Returns the records with (or without) status {@link MemberStatus#DEAD}, ordered by id. */
    List<MemberRecord> recordsWhereDead(boolean dead) {
        List<MemberRecord> selected = new ArrayList<>();
        for (Entry e : entries.values()) {
            if ((e.record.status() == MemberStatus.DEAD) == dead) {
                selected.add(e.record);
            }
        }
        return selected;
    }

    /** Returns the number of nodes that are not dead. */
    int liveCount() {
        return liveCount;
    }

    /**
     * Stores {@code record} if it supersedes the known one; returns whether it was stored. A dead
     * node that is unknown is not stored: nodes remove dead records at different times and would
     * otherwise reintroduce them to each other indefinitely.
     */
    boolean merge(MemberRecord record, Instant deadline) {
        Entry old = entries.get(record.id());
        if (old == null ? record.status() == MemberStatus.DEAD : !record.supersedes(old.record)) {
            return false;
        }
        put(record, deadline);
        return true;
    }

    private void put(MemberRecord record, Instant deadline) {
        Entry old = entries.put(record.id(), new Entry(record, deadline));
        if (old != null) {
            Preconditions.checkInvariant(
                    record.supersedes(old.record),
                    "the record of " + record.id() + " was replaced by an older one");
            updateTotals(old.record, -1);
        }
        updateTotals(record, 1);
    }

    private void updateTotals(MemberRecord record, int sign) {
        if (record.status() != MemberStatus.DEAD) {
            liveCount += sign;
            digests[bucket(record.id())] += sign * record.digest();
        }
    }

    /** Removes dead nodes at their deadline and returns dead records for the expired suspicions. */
    List<MemberRecord> expire(Instant now) {
        List<MemberRecord> died = new ArrayList<>();
        entries.values()
                .removeIf(e -> e.record.status() == MemberStatus.DEAD && !now.isBefore(e.deadline));
        for (Entry e : entries.values()) {
            if (e.record.status() == MemberStatus.SUSPECT && !now.isBefore(e.deadline)) {
                died.add(e.record.withStatus(MemberStatus.DEAD));
            }
        }
        return died;
    }

    /**
     * Extends the suspicion of a node to {@code deadline} for one more direct probe; returns false
     * if all of them were used.
     */
    boolean extendSuspicion(NodeId id, Instant deadline) {
        Entry e = entries.get(id);
        if (e == null || e.confirmationProbes >= MembershipSettings.CONFIRMATION_PROBES) {
            return false;
        }
        e.confirmationProbes++;
        e.deadline = deadline;
        return true;
    }

    /** Returns the earliest deadline of a suspicion, or {@link Instant#MAX}. */
    Instant earliestSuspicionDeadline() {
        Instant first = Instant.MAX;
        for (Entry e : entries.values()) {
            if (e.record.status() == MemberStatus.SUSPECT && e.deadline.isBefore(first)) {
                first = e.deadline;
            }
        }
        return first;
    }

    /** Extends all deadlines after a pause in which this node could not receive refutations. */
    void extendDeadlines(Duration pause) {
        entries.values()
                .forEach(
                        e -> {
                            if (e.record.status() != MemberStatus.ALIVE) {
                                e.deadline = e.deadline.plus(pause);
                            }
                        });
    }

    /** Returns a digest of all live nodes. */
    long digest() {
        long h = 0;
        for (long d : digests) {
            h = h * 31 + d;
        }
        return h;
    }

    List<Integer> bucketDigests() {
        List<Integer> list = new ArrayList<>(BUCKETS);
        for (long d : digests) {
            list.add(Long.hashCode(d));
        }
        return list;
    }

    /**
     * Returns the records, dead ones included, in the buckets whose digests differ from {@code
     * other}.
     */
    List<MemberRecord> recordsInDifferingBuckets(List<Integer> other) {
        List<Integer> own = bucketDigests();
        List<MemberRecord> found = new ArrayList<>();
        for (Entry e : entries.values()) {
            int b = bucket(e.record.id());
            if (!own.get(b).equals(other.get(b))) {
                found.add(e.record);
            }
        }
        return found;
    }

    private static int bucket(NodeId id) {
        return (int) (Rendezvous.weight("bucket", id.value()) & (BUCKETS - 1));
    }
}
