package org.carobdoor.internal.claims;

import java.time.Instant;

/**
 * A sealed segment that belongs to a claim log.
 *
 * <p>The number of a segment is the version of the head whose records it holds. Two owners that
 * seal the same head therefore write the same content, so a segment never changes.
 *
 * @param number the number in the segment's key
 * @param latestRememberUntil when the last of its records may be forgotten
 */
public record SegmentInfo(long number, Instant latestRememberUntil) {}
