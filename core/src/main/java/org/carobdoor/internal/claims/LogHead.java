package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.List;

/**
 * The head value of a claim log.
 *
 * @param batches the tokens of the last writes, newest last
 * @param forgottenUntil records to be remembered until this time or earlier may have been trimmed
 * @param segments the sealed segments, oldest first
 * @param dropped segments that are no longer part of the log and remain to be deleted
 * @param records the records that are not sealed, at most one a key
 */
public record LogHead(
        List<Id128> batches,
        Instant forgottenUntil,
        List<SegmentInfo> segments,
        List<Long> dropped,
        List<ClaimRecord> records) {

    /** The head of a log that was never written. */
    public static final LogHead EMPTY =
            new LogHead(List.of(), Instant.EPOCH, List.of(), List.of(), List.of());

    /** Copies the lists. */
    public LogHead {
        batches = List.copyOf(batches);
        segments = List.copyOf(segments);
        dropped = List.copyOf(dropped);
        records = List.copyOf(records);
    }
}
