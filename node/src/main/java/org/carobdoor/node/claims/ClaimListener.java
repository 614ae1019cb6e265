package org.carobdoor.node.claims;

import java.time.Duration;
import org.carobdoor.internal.claims.ClaimLogListener;
import org.carobdoor.internal.claims.ClaimVerdict;

/** Receives events about the claims of this node, for metrics. May be called concurrently. */
public interface ClaimListener extends ClaimLogListener {
    /** A listener that ignores all events. */
    ClaimListener NONE = new ClaimListener() {};

    /** Called when a request of this node got its verdict, {@code time} after it was made. */
    default void onVerdict(ClaimVerdict verdict, Duration time) {}

    /** Called when no owner confirmed an outcome or a release before the time limit. */
    default void onReportLost() {}

    /** Called when a log is discarded and reloaded because an invariant was violated. */
    default void onInvariantViolation() {}

    /** Called when an answer was evicted before its expiry because the store was full. */
    default void onAnswerEvicted() {}
}
