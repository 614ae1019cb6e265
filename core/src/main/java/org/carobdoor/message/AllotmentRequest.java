package org.carobdoor.message;

/**
 * Asks the home node of a limit for a share of it.
 *
 * @param limit the name of the limit, for example {@code "entry/bids/requests_per_second"}
 * @param wanted the amount requested for the next window, in the unit of the limit
 */
public record AllotmentRequest(String limit, long wanted) implements LimitMessage {}
