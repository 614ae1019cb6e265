package org.carobdoor;

import java.time.Instant;

/**
 * A named lease of the platform's key-value service.
 *
 * <p>A lease does not guarantee that its holder acts exclusively, because the holder can be paused
 * past {@code until}. Orders must carry {@code fencing}, so that the receiver can reject orders of
 * an earlier holder.
 *
 * @param name the name of the lease
 * @param holder the unique token of its holder
 * @param fencing fencing token, which increases by at least one with each new holder
 * @param until when the lease expires unless it is renewed, by the local clock, measured from
 *     before the request was sent
 */
public record Lease(String name, String holder, long fencing, Instant until) {}
