package org.carobdoor.node.replica;

import java.time.Duration;

/**
 * Times of the replica service.
 *
 * @param watchWait how long one call to the key-value service waits for changes; short, because a
 *     call that has gone silent is noticed only at its end
 * @param answerGrace how much later than its deadline a call may answer before it is abandoned
 * @param relistInterval between two full reads by a watcher, which find what a watch did not report
 * @param retryInterval between two attempts while the key-value service does not answer
 * @param unreachableAfter without an answer for this long, the platform is reported unreachable
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

    /** The answer to one pull ends with the bucket that exceeds it. */
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

    /** Returns these settings with all times divided by {@code factor}, for tests. */
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
