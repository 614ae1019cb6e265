package org.carobdoor.internal.routing;

import java.time.Duration;
import org.carobdoor.internal.Preconditions;

/**
 * Settings of an {@link EndpointView}.
 *
 * @param shards number of shards of the view, each with its own lock
 * @param leavingBound maximum time after a reclaim notice at which a send may still start
 * @param failedProbes consecutive failed probes after which an endpoint is excluded from routing
 * @param pauseAfterRefusal how long an endpoint is excluded from routing after it refused a request
 *     as overloaded or could not be connected to
 * @param loadHalfLife half-life of the load reported by other nodes and engines, which models the
 *     work completed since the report
 * @param forgetGoneAfter how long a gone endpoint is kept in the view
 */
public record ViewSettings(
        int shards,
        Duration leavingBound,
        int failedProbes,
        Duration pauseAfterRefusal,
        Duration loadHalfLife,
        Duration forgetGoneAfter) {

    /** Validates the ranges. */
    public ViewSettings {
        Preconditions.checkArgument(shards > 0, "shards must be positive");
        Preconditions.checkArgument(failedProbes > 0, "failedProbes must be positive");
        Preconditions.checkArgument(
                loadHalfLife.toMillis() > 0, "loadHalfLife must be at least 1 ms");
    }

    /** Returns the default settings. */
    public static ViewSettings defaults() {
        return new ViewSettings(
                8,
                Duration.ofSeconds(3),
                3,
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofDays(1));
    }
}
