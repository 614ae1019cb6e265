package org.carobdoor.internal.resume;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The versions of each service that a node has seen in the directory. Not thread-safe. */
final class VersionSightings {
    private static final long FORGET_NANOS = 2 * StreamVersions.MIXED_MEMORY_NANOS;

    private static final class Service {
        private final long firstSeenNanos;
        private final Map<String, Long> lastSeenNanos = new HashMap<>();
        private @Nullable Long toldMixedNanos;

        Service(long firstSeenNanos) {
            this.firstSeenNanos = firstSeenNanos;
        }
    }

    private final Map<String, Service> services = new HashMap<>();

    /** Records the versions of the endpoints that are listed now. */
    void record(String service, Set<String> versions, long nowNanos) {
        Service s = services.computeIfAbsent(service, n -> new Service(nowNanos));
        versions.forEach(v -> s.lastSeenNanos.put(v, nowNanos));
        s.lastSeenNanos.values().removeIf(t -> nowNanos - t > FORGET_NANOS);
    }

    /** Records that another node has seen several versions of a service recently. */
    void recordMixed(String service, long nowNanos) {
        services.computeIfAbsent(service, n -> new Service(nowNanos)).toldMixedNanos = nowNanos;
    }

    /** Returns whether this or another node saw several versions in the last {@code spanNanos}. */
    boolean isMixed(String service, long spanNanos, long nowNanos) {
        Service s = services.get(service);
        Long told = s == null ? null : s.toldMixedNanos;
        return recent(service, spanNanos, nowNanos) > 1
                || (told != null && nowNanos - told <= spanNanos);
    }

    private long recent(String service, long spanNanos, long nowNanos) {
        Service s = services.get(service);
        return s == null
                ? 0
                : s.lastSeenNanos.values().stream().filter(t -> nowNanos - t <= spanNanos).count();
    }

    /** Returns the only version that was seen during the last {@code spanNanos}. */
    Optional<String> onlyVersion(String service, long spanNanos, long nowNanos) {
        Service s = services.get(service);
        if (s == null || recent(service, spanNanos, nowNanos) != 1) {
            return Optional.empty();
        }
        return s.lastSeenNanos.entrySet().stream()
                .filter(e -> nowNanos - e.getValue() <= spanNanos)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns whether the service has been observed for {@code spanNanos}. */
    boolean isObservedFor(String service, long spanNanos, long nowNanos) {
        Service s = services.get(service);
        return s != null && nowNanos - s.firstSeenNanos >= spanNanos;
    }

    /** Returns the services that were seen. */
    Set<String> services() {
        return services.keySet();
    }
}
