package org.carobdoor.internal.catalogue;

/**
 * The service-level objective of an entry.
 *
 * @param firstTokenMillis the maximum time to the first token, or to the answer of a plain service,
 *     in milliseconds
 * @param tokenGapMillis the maximum mean time between tokens, in milliseconds
 * @param targetPercent the percentage of requests that must meet both limits
 */
public record EntryObjective(long firstTokenMillis, long tokenGapMillis, double targetPercent) {}
