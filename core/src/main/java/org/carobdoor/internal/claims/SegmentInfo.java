package org.carobdoor.internal.claims;

import java.time.Instant;

/**
 * A sealed segment that belongs to a claim log.
 *
 * <p>The number of a segment is the version of the head whose records it contains. Owners that seal
 * the same head therefore write identical content, so segments are immutable.
 *
 * @param number the number that is part of the segment's key
 * @param latestRememberUntil the latest {@code rememberUntil} of its records
 */
public record SegmentInfo(long number, Instant latestRememberUntil) {}
