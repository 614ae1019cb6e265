package org.carobdoor.internal.catalogue;

/**
 * What an entry may consume over all nodes. 0 means no limit.
 *
 * @param requestsPerSecond requests started a second
 * @param tokensPerMinute tokens generated a minute
 * @param spendPerDay spend a day in the platform's currency
 * @param maxInFlight requests in flight at once
 */
public record EntryLimits(
        long requestsPerSecond, long tokensPerMinute, double spendPerDay, long maxInFlight) {}
