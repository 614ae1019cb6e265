package org.carobdoor.message;

/**
 * A pattern whose requests are refused because they crash endpoints. Times are milliseconds of
 * cluster time since the epoch.
 *
 * @param pattern the pattern
 * @param sinceMillis when it was quarantined
 * @param node the run of the node that quarantined it
 * @param crashes the number of crashes that led to it
 * @param trials the number of trial requests allowed so far
 * @param nextTrialMillis when the next trial request is allowed
 * @param requestedMillis when a matching request last arrived, accurate to some hours
 */
public record QuarantineEntry(
        RequestPattern pattern,
        long sinceMillis,
        String node,
        int crashes,
        int trials,
        long nextTrialMillis,
        long requestedMillis) {

    /** Returns a copy with one more trial, and a new time of the next one. */
    public QuarantineEntry withTrial(long nextMillis, long nowMillis) {
        return new QuarantineEntry(
                pattern, sinceMillis, node, crashes, trials + 1, nextMillis, nowMillis);
    }

    /** Returns a copy with another time of the last request. */
    public QuarantineEntry withRequestedMillis(long nowMillis) {
        return new QuarantineEntry(
                pattern, sinceMillis, node, crashes, trials, nextTrialMillis, nowMillis);
    }
}
