package org.carobdoor.internal.catalogue;

/**
 * The service-level objective of an entry.
 *
 * @param firstTokenMillis the bound of the time to the first token, or to the answer of a plain
 *     service, in milliseconds
 * @param tokenGapMillis the bound of the mean time between tokens, in milliseconds
 * @param targetPercent the percentage of requests that must keep both bounds
 */
public record EntryObjective(long firstTokenMillis, long tokenGapMillis, double targetPercent) {}
