package org.carobdoor.internal.rollout;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Which versions of a service get requests.
 *
 * @param to the new version
 * @param share the fraction of requests that go to it
 * @param limited whether this node must keep the new version's requests within the exposure limit
 * @param required whether the new version gets no requests even if there is no other
 * @param running whether the roll-out has not ended yet
 * @param barred versions that get no requests
 */
public record VersionRule(
        String to,
        double share,
        boolean limited,
        boolean required,
        boolean running,
        List<String> barred) {
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
            return order == null
                    ? null
                    : without(order.to(), false, true, barredBefore(order, state));
        }
        return switch (state.phase()) {
            case ROLLED_BACK -> without(state.to(), true, false, state.barred());
            case COMPLETED -> new VersionRule(state.to(), 1, false, false, false, state.barred());
            case TRYING ->
                    bad
                            ? without(state.to(), true, true, state.barred())
                            : new VersionRule(
                                    state.to(), state.share(), true, false, true, state.barred());
            case WIDENING, FINISHING ->
                    bad
                            ? without(state.to(), true, true, state.barred())
                            : new VersionRule(
                                    state.to(), state.share(), false, false, true, state.barred());
        };
    }

    private static List<String> barredBefore(RolloutOrder order, @Nullable RolloutState state) {
        List<String> barred = Rollout.barred(state);
        barred.remove(order.to());
        return barred;
    }

    private static VersionRule without(
            String to, boolean required, boolean running, List<String> barred) {
        return new VersionRule(to, 0, true, required, running, barred);
    }

    /** Returns whether {@code version} is the new one. */
    boolean isNew(String version) {
        // An order without a version concerns none, not the endpoints whose version is unknown.
        return !to.isEmpty() && version.equals(to);
    }
}
