package org.carobdoor.node.claims;

import java.time.Duration;
import org.carobdoor.internal.claims.ClaimLogSettings;
import org.carobdoor.internal.claims.KeyPolicy;

/**
 * Settings of the claims of a node.
 *
 * @param log settings of the logs that this node owns
 * @param keys which keys are accepted; must be the same on all nodes
 * @param answerKept how long answers are kept for callers that repeat a call
 * @param answerBytes how many bytes of answers are kept at most
 * @param idleLogKept how long a log that this node no longer owns stays in memory
 */
public record ClaimSettings(
        ClaimLogSettings log,
        KeyPolicy keys,
        Duration answerKept,
        long answerBytes,
        Duration idleLogKept) {
    /** 10 minutes and 16 MB for answers, an eighth of the memory for control work. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(
                    ClaimLogSettings.DEFAULT,
                    KeyPolicy.DEFAULT,
                    Duration.ofMinutes(10),
                    16 << 20,
                    Duration.ofMinutes(1));
}
