package org.carobdoor.node.gateway.forward;

import java.util.Optional;
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
}
