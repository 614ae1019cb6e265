package org.carobdoor.internal.rollout;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Which versions of a service get requests.
 *
 * @param to the new version
 * @param share the fraction of requests that go to it
 * @param limited whether this node must keep the new version's requests within the exposure limit
 * @param barred versions that get no requests
 */
public record VersionRule(String to, double share, boolean limited, List<String> barred) {
    /** Copies the list. */
    public VersionRule {
        barred = List.copyOf(barred);
    }

    /**
     * Returns the rule of a node.
     *
     * @param order the newest order; null if none is known
     * @param state the newest state; null if none is known
     * @param bad whether this node's own evidence says that the new version is bad
     */
    public static @Nullable VersionRule of(
            @Nullable RolloutOrder order, @Nullable RolloutState state, boolean bad) {
        if (state == null || (order != null && !order.isOrderOf(state))) {
            return order == null ? null : without(order.to(), Rollout.barred(state));
        }
        return switch (state.phase()) {
            case ROLLED_BACK -> without(state.to(), state.barred());
            case COMPLETED -> new VersionRule(state.to(), 1, false, state.barred());
            case TRYING ->
                    bad
                            ? without(state.to(), state.barred())
                            : new VersionRule(state.to(), state.share(), true, state.barred());
            case WIDENING, FINISHING ->
                    bad
                            ? without(state.to(), state.barred())
                            : new VersionRule(state.to(), state.share(), false, state.barred());
        };
    }

    private static VersionRule without(String to, List<String> barred) {
        return new VersionRule(to, 0, true, barred);
    }
}
