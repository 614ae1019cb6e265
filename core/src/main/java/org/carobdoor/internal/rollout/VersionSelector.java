package org.carobdoor.internal.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * Selects the version that each request of this node goes to.
 *
 * <p>The share of a new version is set only by the stored state; a node that knows the order but no
 * state uses the old versions. While the new version is tried, the node's own count of requests to
 * it stays within the exposure limit too, of which it has an equal part of the fixed number. A
 * share goes to as many new endpoints as it is worth, so that each has the load of an old one. A
 * version that appears without an order, beside others, is used once an order had time to arrive:
 * the store's news of endpoints may come before those of the orders.
 *
 * <p>Not thread-safe.
 */
public final class VersionSelector {
    /** An order for a version arrives within this time of its first endpoint. */
    private static final long NEW_VERSION_HOLD_NANOS = 3_000_000_000L;

    /** One failing endpoint among the tried ones must not look like the whole version. */
    private static final int MIN_TRIED_ENDPOINTS = 3;

    private static final class Service {
        private final Map<String, Long> usableFromNanos = new HashMap<>();
        private @Nullable VersionRule rule;
        private long requests;
        private long exposed;
    }

    private final Optional<RolloutBounds> bounds;
    private final Map<String, Service> services = new HashMap<>();
    private int nodes = 1;

    private VersionSelector(Optional<RolloutBounds> bounds) {
        this.bounds = bounds;
    }

    /** Returns an instance that selects nothing if {@code bounds} is empty. */
    public static VersionSelector create(Optional<RolloutBounds> bounds) {
        return new VersionSelector(bounds);
    }

    /** Returns whether versions are rolled out at all. */
    public boolean isEnabled() {
        return bounds.isPresent();
    }

    /** Sets the number of nodes, which share the fixed part of the exposure limit. */
    public void setNodes(int count) {
        nodes = Math.max(1, count);
    }

    /** Sets the rule of a service; the counts of requests start anew for another version. */
    public void setRule(String service, @Nullable VersionRule rule) {
        Service s = services.computeIfAbsent(service, n -> new Service());
        VersionRule before = s.rule;
        if (rule == null || before == null || !before.to().equals(rule.to())) {
            s.requests = 0;
            s.exposed = 0;
        }
        s.rule = rule;
    }

    /** Returns whether a version of {@code service} is being rolled out. */
    public boolean isRollingOut(String service) {
        Service s = services.get(service);
        return s != null && s.rule != null && s.rule.running();
    }

    /** Returns whether a new request of {@code service} goes to the new version. */
    public boolean choosesNew(String service, RandomGenerator random) {
        Service s = services.get(service);
        VersionRule r = s == null ? null : s.rule;
        if (s == null || r == null) {
            return false;
        }
        s.requests++;
        return r.share() >= 1
                || (random.nextDouble() < r.share() && (!r.limited() || s.exposed + 1 <= limit(s)));
    }

    private double limit(Service s) {
        return bounds.map(b -> b.exposureShare() * s.requests + b.exposureSlack() / 2.0 / nodes)
                .orElse(0.0);
    }

    /**
     * Returns the endpoints among {@code accepting} that may get a request.
     *
     * @param chosenNew whether the request goes to the new version; false for its retries while the
     *     version is not judged
     */
    public List<EndpointLoad> allowed(
            String service, boolean chosenNew, List<EndpointLoad> accepting, long nowNanos) {
        if (bounds.isEmpty()) {
            return accepting;
        }
        Service s = services.computeIfAbsent(service, n -> new Service());
        VersionRule r = s.rule;
        List<EndpointLoad> usable = withoutHeld(s, r, accepting, nowNanos);
        if (r == null) {
            return usable;
        }
        List<EndpointLoad> old = filter(usable, v -> !r.isNew(v) && !r.barred().contains(v));
        List<EndpointLoad> next = filter(usable, r::isNew);
        if (next.isEmpty() || r.required()) {
            return old;
        }
        if (r.share() >= 1 || old.isEmpty()) {
            return next;
        }
        return chosenNew && r.share() > 0 ? tried(next, r.share()) : old;
    }

    /** Counts that a request was sent to {@code endpoint}. */
    public void recordSent(EndpointEntry endpoint) {
        Service s = services.get(endpoint.service());
        if (s != null && s.rule != null && s.rule.isNew(endpoint.version())) {
            s.exposed++;
        }
    }

    private static List<EndpointLoad> tried(List<EndpointLoad> next, double share) {
        long count = Math.max(MIN_TRIED_ENDPOINTS, Math.round(Math.ceil(share * next.size())));
        return next.stream()
                .sorted(Comparator.comparingLong(e -> e.weightFor(0)))
                .limit(count)
                .toList();
    }

    private static List<EndpointLoad> withoutHeld(
            Service s, @Nullable VersionRule rule, List<EndpointLoad> all, long nowNanos) {
        boolean first = s.usableFromNanos.isEmpty();
        boolean held = false;
        for (EndpointLoad e : all) {
            String version = e.entry().version();
            Long from = s.usableFromNanos.get(version);
            if (from == null) {
                from = first ? nowNanos : nowNanos + NEW_VERSION_HOLD_NANOS;
                s.usableFromNanos.put(version, from);
            }
            held |= from - nowNanos > 0;
        }
        if (!held) {
            return all;
        }
        List<EndpointLoad> usable =
                filter(
                        all,
                        v ->
                                (rule != null && rule.isNew(v))
                                        || s.usableFromNanos.getOrDefault(v, 0L) - nowNanos <= 0);
        return usable.isEmpty() ? all : usable;
    }

    private static List<EndpointLoad> filter(List<EndpointLoad> all, Predicate<String> version) {
        return all.stream().filter(e -> version.test(e.entry().version())).toList();
    }
}
