package org.carobdoor.internal.catalogue;

/**
 * The limits of an entry over all nodes. 0 means no limit.
 *
 * @param requestsPerSecond requests started per second
 * @param tokensPerMinute tokens generated per minute
 * @param spendPerDay spend per day in the currency of the platform
 * @param maxInFlight concurrent requests in flight
 */
public record EntryLimits(
        long requestsPerSecond, long tokensPerMinute, double spendPerDay, long maxInFlight) {}
