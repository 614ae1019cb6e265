package org.carobdoor.node.gateway.forward;

import java.util.Optional;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.health.SendOutcome;
import org.carobdoor.internal.rollout.RolloutBounds;
import org.carobdoor.internal.rollout.VersionCounts;
import org.carobdoor.internal.rollout.VersionSelector;

/**
 * How requests are divided among the versions of a service, and how their answers are counted.
 *
 * @param selector selects the version of each request
 * @param counts counts the answers by version
 */
public record VersionRouting(VersionSelector selector, VersionCounts counts) {
    /** Returns an instance under {@code bounds}; without them, all versions are used alike. */
    public static VersionRouting create(Optional<RolloutBounds> bounds) {
        return new VersionRouting(
                VersionSelector.create(bounds),
                bounds.isPresent() ? VersionCounts.create() : VersionCounts.disabled());
    }

    /**
     * Counts what became of a request that was sent.
     *
     * @param begun whether the first event of a stream was counted before
     * @param sentNanos when the request was sent, in {@link System#nanoTime}
     */
    void record(
            EndpointEntry endpoint,
            String route,
            SendOutcome outcome,
            boolean begun,
            long sentNanos) {
        if (!endpoint.accepting()) {
            return;
        }
        long now = System.nanoTime();
        double millis = (now - sentNanos) / (double) CallContext.NANOS_PER_MILLI;
        switch (outcome) {
            case ANSWERED, TIMED_OUT -> {
                if (begun) {
                    counts.recordStreamEnd(endpoint, route, millis);
                } else {
                    counts.recordAnswer(endpoint, route, millis, false);
                }
            }
            case FAILED -> counts.recordAnswer(endpoint, route, millis, true);
            case BROKEN -> counts.recordBroken(endpoint, route, begun, now);
            default -> {
                // The endpoint did not run the request.
            }
        }
    }
}
