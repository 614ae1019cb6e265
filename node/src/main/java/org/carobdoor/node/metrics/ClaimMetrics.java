package org.carobdoor.node.metrics;

import java.time.Duration;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.node.claims.ClaimListener;

/** Counts the events of the claims of idempotency keys. */
public final class ClaimMetrics implements ClaimListener {
    private final NodeMetrics metrics;

    /** Creates a listener that counts in {@code metrics}. */
    public ClaimMetrics(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onVerdict(ClaimVerdict verdict, Duration time) {
        String kind =
                switch (verdict) {
                    case ClaimVerdict.Granted v -> "granted";
                    case ClaimVerdict.Held v -> "held";
                    case ClaimVerdict.Done v -> "done";
                    case ClaimVerdict.Refused v -> "refused";
                    case ClaimVerdict.TooOld v -> "too_old";
                    case ClaimVerdict.BadKey v -> "bad_key";
                };
        metrics.event("claim_" + kind, 1);
        metrics.claimTime(time.toNanos() / 1e9);
    }

    @Override
    public void onWrite(int records) {
        metrics.event("claim_log_write", 1);
    }

    @Override
    public void onConflict() {
        metrics.event("claim_log_conflict", 1);
    }

    @Override
    public void onFailure() {
        metrics.event("claim_log_failure", 1);
    }

    @Override
    public void onReportLost() {
        metrics.event("claim_report_lost", 1);
    }

    @Override
    public void onInvariantViolation() {
        metrics.event("invariant_violation", 1);
    }

    @Override
    public void onAnswerEvicted() {
        metrics.event("claim_answer_evicted", 1);
    }
}
