package org.carobdoor.node.replica;

import java.time.Duration;

/**
 * Intervals and timeouts of the {@link ReplicaService}.
 *
 * @param watchWait how long one call to the key-value service waits for changes; short, because a
 *     hanging call is detected only at its deadline
 * @param answerGrace how long after its deadline a call may still return before it is abandoned
 * @param relistInterval between two full reads by a watcher, which find changes that the watch did
 *     not report
 * @param retryInterval between two attempts while the key-value service is unavailable
 * @param unreachableAfter time without a response after which the platform is reported unreachable
 * @param pullInterval between two pulls from peers
 * @param pullTimeout for one pull
 */
public record ReplicaServiceSettings(
        Duration watchWait,
        Duration answerGrace,
        Duration relistInterval,
        Duration retryInterval,
        Duration unreachableAfter,
        Duration pullInterval,
        Duration pullTimeout) {

    /** Maximum size of a pull response; the bucket that exceeds it is still sent whole. */
    static final int MAX_PULL_BYTES = 256 << 10;

    /** Returns the settings for production. */
    public static ReplicaServiceSettings defaults() {
        return new ReplicaServiceSettings(
                Duration.ofSeconds(4),
                Duration.ofSeconds(1),
                Duration.ofSeconds(15),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                Duration.ofSeconds(2));
    }

    /** Returns these settings with all durations divided by {@code factor}, for tests. */
    public ReplicaServiceSettings faster(int factor) {
        return new ReplicaServiceSettings(
                watchWait.dividedBy(factor),
                answerGrace.dividedBy(factor),
                relistInterval.dividedBy(factor),
                retryInterval.dividedBy(factor),
                unreachableAfter.dividedBy(factor),
                pullInterval.dividedBy(factor),
                pullTimeout.dividedBy(factor));
    }
}
