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

/** The records of all known nodes, with their stored deadlines and the digests of the live ones. */
final class MemberTable {
    /** With 380 nodes, one bucket holds about 12, which fit two datagrams. */
    static final int BUCKETS = 32;

    private static final class Entry {
        final MemberRecord record;

        /** When a suspicion turns into death, or a dead node is forgotten. */
        Instant deadline;

        int checks;

        Entry(MemberRecord record, Instant deadline) {
            this.record = record;
            this.deadline = deadline;
        }
    }

    private final Map<NodeId, Entry> entries = new TreeMap<>();
    private final long[] digests = new long[BUCKETS];
    private int live;

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
    List<MemberRecord> select(boolean dead) {
        List<MemberRecord> selected = new ArrayList<>();
        for (Entry e : entries.values()) {
            if ((e.record.status() == MemberStatus.DEAD) == dead) {
                selected.add(e.record);
            }
        }
        return selected;
    }

    /** Returns the number of nodes that are not dead. */
    int liveSize() {
        return live;
    }

    /**
     * Stores {@code record} if it supersedes what is known. Death of an unknown node is no news:
     * storing it would let nodes that forget at different times remind each other for ever.
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
                    record.supersedes(old.record), "the record of " + record.id() + " went back");
            count(old.record, -1);
        }
        count(record, 1);
    }

    private void count(MemberRecord record, int sign) {
        if (record.status() != MemberStatus.DEAD) {
            live += sign;
            digests[bucket(record.id())] += sign * record.digest();
        }
    }

    /** Forgets dead nodes whose time has come, and returns the nodes whose suspicion has ended. */
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
     * Prolongs the suspicion of a node until {@code deadline} for one more direct probe; returns
     * false if it has had all of them.
     */
    boolean grantCheck(NodeId id, Instant deadline) {
        Entry e = entries.get(id);
        if (e == null || e.checks >= MembershipSettings.FINAL_CHECKS) {
            return false;
        }
        e.checks++;
        e.deadline = deadline;
        return true;
    }

    /** Returns the earliest end of a suspicion. */
    Instant firstSuspicionEnd() {
        Instant first = Instant.MAX;
        for (Entry e : entries.values()) {
            if (e.record.status() == MemberStatus.SUSPECT && e.deadline.isBefore(first)) {
                first = e.deadline;
            }
        }
        return first;
    }

    /** Moves all deadlines, after a time in which this node could not hear refutations. */
    void postpone(Duration pause) {
        entries.values()
                .forEach(
                        e -> {
                            if (e.record.status() != MemberStatus.ALIVE) {
                                e.deadline = e.deadline.plus(pause);
                            }
                        });
    }

    /** Returns one digest of the live nodes. */
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

    /** Returns the records, dead ones included, in the buckets whose digest is not as given. */
    List<MemberRecord> differing(List<Integer> other) {
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
