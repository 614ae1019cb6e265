package org.carobdoor.node.claims;

import java.time.Duration;
import org.carobdoor.internal.claims.ClaimLogSettings;
import org.carobdoor.internal.claims.KeyPolicy;

/**
 * Settings of the {@link ClaimService}.
 *
 * @param log settings of the logs that this node owns
 * @param keys which keys are accepted; must be the same on all nodes
 * @param answerRetention how long answers are stored for callers that repeat a call
 * @param answerBytes the maximum size of the stored answers, in bytes
 * @param idleLogKept how long a log that this node no longer owns stays in memory
 */
public record ClaimSettings(
        ClaimLogSettings log,
        KeyPolicy keys,
        Duration answerRetention,
        long answerBytes,
        Duration idleLogKept) {
    /** Stores answers for 10 minutes in at most 16 MiB, an eighth of the control-plane memory. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(
                    ClaimLogSettings.DEFAULT,
                    KeyPolicy.DEFAULT,
                    Duration.ofMinutes(10),
                    16 << 20,
                    Duration.ofMinutes(1));
}
