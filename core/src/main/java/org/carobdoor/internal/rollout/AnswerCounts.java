package org.carobdoor.internal.rollout;

/**
 * The answers of both versions since the order.
 *
 * @param newAnswers answers of the new version, including failures
 * @param newFailures failures of the new version
 * @param oldAnswers answers of other versions, including failures
 * @param oldFailures failures of other versions
 */
public record AnswerCounts(long newAnswers, long newFailures, long oldAnswers, long oldFailures) {
    /** No answers. */
    public static final AnswerCounts NONE = new AnswerCounts(0, 0, 0, 0);
}
