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

/** The known content of a claim log: its head at one version and an index of its segments. */
final class LogContent {
    /**
     * Number of batch tokens kept in the head, so that a read-back within half a second of a write
     * still finds the token of the write.
     */
    private static final int MAX_BATCH_TOKENS = 8;

    private final SegmentIndex index = new SegmentIndex();
    private final Map<Id128, ClaimRecord> records = new LinkedHashMap<>();
    private LogHead head = LogHead.EMPTY;
    private long version;

    /** Replaces the head with one that was read or written. */
    void replaceHead(long newVersion, LogHead newHead) {
        Preconditions.checkInvariant(newVersion >= version, "the version of the head decreased");
        Preconditions.checkInvariant(
                !newHead.trimmedUntil().isBefore(head.trimmedUntil()), "trimmedUntil decreased");
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

    /** Returns the numbers of the segments that are not indexed yet. */
    List<Long> unindexedSegments() {
        return head.segments().stream()
                .map(SegmentInfo::number)
                .filter(number -> !index.contains(number))
                .toList();
    }

    /** Returns the segments that may contain the newest record of {@code key}, newest first. */
    List<Long> candidateSegments(Id128 key) {
        return records.containsKey(key) ? List.of() : index.candidates(key, head.segments());
    }

    /** Returns a segment that must be read before {@link #find} is called, if there is one. */
    OptionalLong firstUnreadSegment(Id128 key, List<Long> candidates) {
        for (long number : candidates) {
            List<ClaimRecord> segment = index.cachedRecords(number);
            if (segment == null) {
                return OptionalLong.of(number);
            }
            if (findIn(segment, key) != null) {
                return OptionalLong.empty();
            }
        }
        return OptionalLong.empty();
    }

    /**
     * Returns the newest record of {@code key}, or null; {@link #firstUnreadSegment} must be empty
     * for it.
     */
    @Nullable ClaimRecord find(Id128 key, List<Long> candidates) {
        ClaimRecord found = records.get(key);
        if (found != null) {
            return found;
        }
        for (long number : candidates) {
            found =
                    findIn(
                            Preconditions.checkPresent(
                                    index.cachedRecords(number), "segment is not cached"),
                            key);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static @Nullable ClaimRecord findIn(List<ClaimRecord> segment, Id128 key) {
        for (ClaimRecord record : segment) {
            if (record.key().equals(key)) {
                return record;
            }
        }
        return null;
    }

    /** Returns the segments in which every record has expired. */
    List<SegmentInfo> expiredSegments(Instant now) {
        return head.segments().stream()
                .filter(segment -> !segment.latestRememberUntil().isAfter(now))
                .toList();
    }

    /**
     * Returns the next head.
     *
     * @param batch the token of the write
     * @param changes the records to add or replace
     * @param sealed whether the records of this version have been written to a segment
     * @param orphans segments that were written for heads that another owner replaced
     * @param deleted dropped segments that have been deleted
     */
    LogHead nextHead(
            Id128 batch,
            Map<Id128, ClaimRecord> changes,
            boolean sealed,
            Collection<Long> orphans,
            Collection<Long> deleted,
            Instant now) {
        List<Id128> batches = new ArrayList<>(head.batches());
        batches.add(batch);
        int surplus = Math.max(0, batches.size() - MAX_BATCH_TOKENS);
        List<SegmentInfo> segments = new ArrayList<>(head.segments());
        List<SegmentInfo> trimmed = expiredSegments(now);
        segments.removeAll(trimmed);
        Map<Id128, ClaimRecord> kept = new LinkedHashMap<>();
        if (sealed) {
            segments.add(new SegmentInfo(version, maxRememberUntil(records.values())));
        } else {
            kept.putAll(records);
        }
        kept.putAll(changes);
        Set<Long> dropped = new TreeSet<>(head.dropped());
        trimmed.forEach(segment -> dropped.add(segment.number()));
        dropped.addAll(orphans);
        dropped.removeAll(deleted);
        Instant trimmedUntil = maxRememberUntil(trimmed, head.trimmedUntil());
        return new LogHead(
                batches.subList(surplus, batches.size()),
                trimmedUntil,
                segments,
                List.copyOf(dropped),
                List.copyOf(kept.values()));
    }

    private static Instant maxRememberUntil(Collection<ClaimRecord> records) {
        return records.stream()
                .map(ClaimRecord::rememberUntil)
                .max(Instant::compareTo)
                .orElse(Instant.EPOCH);
    }

    private static Instant maxRememberUntil(Collection<SegmentInfo> segments, Instant least) {
        return segments.stream()
                .map(SegmentInfo::latestRememberUntil)
                .filter(until -> until.isAfter(least))
                .max(Instant::compareTo)
                .orElse(least);
    }
}
