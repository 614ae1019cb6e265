package org.carobdoor.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.message.VersionEvidence;

/**
 * This node's counts of the answers of endpoints by version and route. The whole time of streams is
 * counted under a route name of its own, since a version may be fast to begin and slow to end.
 *
 * <p>Not thread-safe.
 */
public final class VersionCounts {
    /** Marks the route name under which the whole times of streams are counted. */
    static final String WHOLE_SUFFIX = "#whole";

    /** Requests that fail together when an endpoint crashes count as one failure. */
    private static final long CRASH_NANOS = 1_000_000_000L;

    private record Key(String service, String version, String route) {}

    private static final class Counts {
        private final long[] latencies = new long[LatencyBuckets.COUNT];
        private long answers;
        private long failures;
    }

    private final Map<Key, Counts> counts = new HashMap<>();
    private final Map<EndpointId, Long> lastCrashNanos = new HashMap<>();

    private final boolean enabled;

    private VersionCounts(boolean enabled) {
        this.enabled = enabled;
    }

    /** Returns an instance without answers. */
    public static VersionCounts create() {
        return new VersionCounts(true);
    }

    /** Returns an instance that counts nothing. */
    public static VersionCounts disabled() {
        return new VersionCounts(false);
    }

    /** Records an answer, or the first event of a stream, that took {@code millis}. */
    public void recordAnswer(EndpointEntry endpoint, String route, double millis, boolean failed) {
        if (!enabled) {
            return;
        }
        Counts c = counts(endpoint, route);
        c.answers++;
        c.latencies[LatencyBuckets.of(millis)]++;
        if (failed) {
            c.failures++;
        }
    }

    /** Records that a stream ended {@code millis} after its request was sent. */
    public void recordStreamEnd(EndpointEntry endpoint, String route, double millis) {
        recordAnswer(endpoint, route + WHOLE_SUFFIX, millis, false);
    }

    /**
     * Records that the connection was lost.
     *
     * @param begun whether the answer was recorded before
     */
    public void recordBroken(EndpointEntry endpoint, String route, boolean begun, long nowNanos) {
        if (!enabled) {
            return;
        }
        Long last = lastCrashNanos.get(endpoint.id());
        if (last != null && nowNanos - last < CRASH_NANOS) {
            return;
        }
        if (lastCrashNanos.size() > 1_000) {
            lastCrashNanos.clear();
        }
        lastCrashNanos.put(endpoint.id(), nowNanos);
        Counts c = counts(endpoint, route);
        c.failures++;
        if (!begun) {
            c.answers++;
        }
    }

    /** Returns the counts of {@code services}. */
    public List<VersionEvidence> of(Set<String> services) {
        List<VersionEvidence> result = new ArrayList<>();
        counts.forEach(
                (key, c) -> {
                    if (services.contains(key.service())) {
                        result.add(evidence(key, c));
                    }
                });
        return result;
    }

    private static VersionEvidence evidence(Key key, Counts c) {
        List<Long> latencies = new ArrayList<>();
        for (int i = 0; i < c.latencies.length; i++) {
            if (c.latencies[i] > 0) {
                while (latencies.size() < i) {
                    latencies.add(0L);
                }
                latencies.add(c.latencies[i]);
            }
        }
        return new VersionEvidence(
                key.service(), key.version(), key.route(), c.answers, c.failures, latencies);
    }

    private Counts counts(EndpointEntry e, String route) {
        return counts.computeIfAbsent(new Key(e.service(), e.version(), route), k -> new Counts());
    }
}
