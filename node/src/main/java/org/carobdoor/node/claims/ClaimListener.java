package org.carobdoor.node.claims;

import java.time.Duration;
import org.carobdoor.internal.claims.ClaimLogListener;
import org.carobdoor.internal.claims.ClaimVerdict;

/** Is told what the claims of this node do, for counters. Called by several threads at once. */
public interface ClaimListener extends ClaimLogListener {
    /** Ignores everything. */
    ClaimListener NONE = new ClaimListener() {};

    /** A request of this node got its verdict {@code time} after it asked. */
    default void onVerdict(ClaimVerdict verdict, Duration time) {}

    /** An outcome or a release was not confirmed by any owner before patience ended. */
    default void onReportLost() {}

    /** A log was thrown away and is read again, because an invariant did not hold. */
    default void onInvariantViolation() {}

    /** A stored answer was pushed out before its time, because the store was full. */
    default void onAnswerEvicted() {}
}
