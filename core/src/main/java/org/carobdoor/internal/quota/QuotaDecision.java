package org.carobdoor.internal.quota;

/** Whether a request is within its account's quota. */
public sealed interface QuotaDecision {

    /** The units are taken. */
    record Granted() implements QuotaDecision {}

    /**
     * The quota is used up; nothing was taken.
     *
     * @param retryAfterMillis when the units will have become free if nobody else takes them
     */
    record Exceeded(long retryAfterMillis) implements QuotaDecision {}
}
