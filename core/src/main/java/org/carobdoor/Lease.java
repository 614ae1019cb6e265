package org.carobdoor;

import java.time.Instant;

/**
 * A named lease of the platform's key-value service.
 *
 * <p>Holding a lease is no proof that nobody else acts: its holder can be paused past {@code
 * until}. Orders must carry {@code fencing} so that the receiver can refuse those of an earlier
 * holder.
 *
 * @param name the name of the lease
 * @param holder the unique token of its holder
 * @param fencing grows by at least one with each new holder
 * @param until when the lease lapses unless it is renewed, by the local clock, counted from before
 *     the request was sent
 */
public record Lease(String name, String holder, long fencing, Instant until) {}
