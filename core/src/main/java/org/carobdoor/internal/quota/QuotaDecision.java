package org.carobdoor.internal.quota;

/** Whether a request is within the quota of its account. */
public sealed interface QuotaDecision {

    /** The request is within the quota, and its units were taken. */
    record Granted() implements QuotaDecision {}

    /**
     * The quota is exhausted; nothing was taken.
     *
     * @param retryAfterMillis the time until the units become free, unless another request takes
     *     them
     */
    record Exceeded(long retryAfterMillis) implements QuotaDecision {}

    /**
     * Some quota is left, but the part of this node is too small; nothing was taken. Another node
     * may lend it.
     *
     * @param retryAfterMillis the time until the parts change
     */
    record PartExceeded(long retryAfterMillis) implements QuotaDecision {}
}
