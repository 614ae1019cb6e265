package org.carobdoor.node.metrics;

import org.carobdoor.RunState;
import org.carobdoor.node.work.WorkListener;

/** Counts the events of accepted requests at this node. */
public final class WorkMetrics implements WorkListener {
    private final NodeMetrics metrics;

    /** Creates a listener that counts in {@code metrics}. */
    public WorkMetrics(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onAccepted(boolean copied, boolean sameZone) {
        String kind = !copied ? "without_copy" : sameZone ? "copy_in_same_zone" : "copied";
        metrics.event("work_accepted_" + kind, 1);
    }

    @Override
    public void onRefused(RunState runState) {
        metrics.event("work_refused_" + runState.label(), 1);
    }

    @Override
    public void onTakeover(int tokens) {
        metrics.event("work_takeover", 1);
        metrics.event("work_recomputed_tokens", tokens);
    }

    @Override
    public void onResume(int tokens) {
        metrics.event("work_resume", 1);
        metrics.event("work_recomputed_tokens", tokens);
    }

    @Override
    public void onSuperseded() {
        metrics.event("work_superseded", 1);
    }

    @Override
    public void onFailed(RunState runState) {
        metrics.event("work_failed_" + runState.label(), 1);
    }

    @Override
    public void onMessage(int chunks) {
        metrics.event("work_message", 1);
    }
}
