package org.carobdoor.internal.routing;

import java.time.Duration;
import org.carobdoor.internal.Preconditions;

/**
 * Settings of an {@link EndpointView}.
 *
 * @param shards the number of shards of the view, each with its own lock
 * @param leavingBound the longest time after a reclaim notice in which a send may start
 * @param failedProbes consecutive failed probes after which an endpoint receives nothing
 * @param pauseAfterRefusal how long an endpoint that refused as overloaded, or could not be
 *     connected to, receives nothing
 * @param loadHalfLife after which half of a load reported by others is assumed to be done
 * @param forgetGoneAfter how long the id of a gone endpoint is remembered
 */
public record ViewSettings(
        int shards,
        Duration leavingBound,
        int failedProbes,
        Duration pauseAfterRefusal,
        Duration loadHalfLife,
        Duration forgetGoneAfter) {

    /** Checks the ranges. */
    public ViewSettings {
        Preconditions.checkArgument(shards > 0, "shards must be positive");
        Preconditions.checkArgument(failedProbes > 0, "failedProbes must be positive");
        Preconditions.checkArgument(
                loadHalfLife.toMillis() > 0, "loadHalfLife must be at least 1 ms");
    }

    /** Returns the settings that are in force unless an operator changes them. */
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
