package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.List;

/**
 * The head of a claim log: its unsealed records and the list of its sealed segments.
 *
 * @param batches the tokens of the most recent writes, newest last
 * @param trimmedUntil records with a {@code rememberUntil} at or before this time may have been
 *     trimmed
 * @param segments the sealed segments, oldest first
 * @param dropped segments that are no longer part of the log and still have to be deleted
 * @param records the unsealed records, at most one per key
 */
public record LogHead(
        List<Id128> batches,
        Instant trimmedUntil,
        List<SegmentInfo> segments,
        List<Long> dropped,
        List<ClaimRecord> records) {

    /** The head of a log that has not been written yet. */
    public static final LogHead EMPTY =
            new LogHead(List.of(), Instant.EPOCH, List.of(), List.of(), List.of());

    /** Makes defensive copies of the lists. */
    public LogHead {
        batches = List.copyOf(batches);
        segments = List.copyOf(segments);
        dropped = List.copyOf(dropped);
        records = List.copyOf(records);
    }
}
