package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.carobdoor.internal.Preconditions;
import org.jspecify.annotations.Nullable;

/** What is known to be written in a claim log: its head at one version and an index of the rest. */
final class LogContent {
    /** Enough that a read-back within half a second of a write finds the write's token. */
    private static final int BATCHES_KEPT = 8;

    private final SegmentIndex index = new SegmentIndex();
    private final Map<Id128, ClaimRecord> records = new LinkedHashMap<>();
    private LogHead head = LogHead.EMPTY;
    private long version;

    /** Replaces the head by one that was read or written. */
    void adopt(long newVersion, LogHead newHead) {
        Preconditions.checkInvariant(newVersion >= version, "the version of a head went back");
        Preconditions.checkInvariant(
                !newHead.forgottenUntil().isBefore(head.forgottenUntil()),
                "forgottenUntil went back");
        version = newVersion;
        head = newHead;
        records.clear();
        newHead.records().forEach(record -> records.put(record.key(), record));
        index.retain(newHead.segments().stream().map(SegmentInfo::number).toList());
    }

    long version() {
        return version;
    }

    LogHead head() {
        return head;
    }

    SegmentIndex index() {
        return index;
    }

    /** Returns the segments that are not indexed yet. */
    List<Long> missing() {
        return head.segments().stream()
                .map(SegmentInfo::number)
                .filter(number -> !index.contains(number))
                .toList();
    }

    /** Returns the segments that may hold the newest record of {@code key}, newest first. */
    List<Long> candidates(Id128 key) {
        return records.containsKey(key) ? List.of() : index.candidates(key, head.segments());
    }

    /** Returns the segment that must be read before {@link #find} can answer, if there is one. */
    OptionalLong unread(Id128 key, List<Long> candidates) {
        for (long number : candidates) {
            List<ClaimRecord> segment = index.records(number);
            if (segment == null) {
                return OptionalLong.of(number);
            }
            if (in(segment, key) != null) {
                return OptionalLong.empty();
            }
        }
        return OptionalLong.empty();
    }

    /** Returns the newest record of {@code key}; nothing must be {@link #unread} for it. */
    @Nullable ClaimRecord find(Id128 key, List<Long> candidates) {
        ClaimRecord found = records.get(key);
        if (found != null) {
            return found;
        }
        for (long number : candidates) {
            found = in(Preconditions.checkPresent(index.records(number), "not open"), key);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static @Nullable ClaimRecord in(List<ClaimRecord> segment, Id128 key) {
        for (ClaimRecord record : segment) {
            if (record.key().equals(key)) {
                return record;
            }
        }
        return null;
    }

    /** Returns the segments in which every record may be forgotten. */
    List<SegmentInfo> trimmable(Instant now) {
        return head.segments().stream()
                .filter(segment -> !segment.latestRememberUntil().isAfter(now))
                .toList();
    }

    /**
     * Returns the next head.
     *
     * @param batch the token of the write
     * @param changes the records to add or to replace
     * @param sealed whether the records of this version were written to a segment
     * @param orphans segments that were written for heads which another owner replaced
     * @param deleted dropped segments that have been deleted
     */
    LogHead next(
            Id128 batch,
            Map<Id128, ClaimRecord> changes,
            boolean sealed,
            Collection<Long> orphans,
            Collection<Long> deleted,
            Instant now) {
        List<Id128> batches = new ArrayList<>(head.batches());
        batches.add(batch);
        int surplus = Math.max(0, batches.size() - BATCHES_KEPT);
        List<SegmentInfo> segments = new ArrayList<>(head.segments());
        List<SegmentInfo> trimmed = trimmable(now);
        segments.removeAll(trimmed);
        Map<Id128, ClaimRecord> kept = new LinkedHashMap<>();
        if (sealed) {
            segments.add(new SegmentInfo(version, latest(records.values())));
        } else {
            kept.putAll(records);
        }
        kept.putAll(changes);
        Set<Long> dropped = new TreeSet<>(head.dropped());
        trimmed.forEach(segment -> dropped.add(segment.number()));
        dropped.addAll(orphans);
        dropped.removeAll(deleted);
        Instant forgotten = latest(trimmed, head.forgottenUntil());
        return new LogHead(
                batches.subList(surplus, batches.size()),
                forgotten,
                segments,
                List.copyOf(dropped),
                List.copyOf(kept.values()));
    }

    private static Instant latest(Collection<ClaimRecord> records) {
        return records.stream()
                .map(ClaimRecord::rememberUntil)
                .max(Instant::compareTo)
                .orElse(Instant.EPOCH);
    }

    private static Instant latest(Collection<SegmentInfo> segments, Instant least) {
        return segments.stream()
                .map(SegmentInfo::latestRememberUntil)
                .filter(until -> until.isAfter(least))
                .max(Instant::compareTo)
                .orElse(least);
    }
}
