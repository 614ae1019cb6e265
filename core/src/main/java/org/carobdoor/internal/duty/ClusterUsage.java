package org.carobdoor.internal.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The most recently reported usage counts of all nodes.
 *
 * <p>A node's counts for a window never decrease, so each report replaces the earlier ones. The
 * counts of a node that has stopped are kept. Not thread-safe.
 */
public final class ClusterUsage {
    private static final int MAX_WINDOWS = 12;

    private final TreeMap<Long, Map<String, Map<String, Long>>> byWindow = new TreeMap<>();

    /** Returns an instance without counts. */
    public static ClusterUsage create() {
        return new ClusterUsage();
    }

    private ClusterUsage() {}

    /**
     * Applies a node's report.
     *
     * @param run identifies one run of a node
     * @param window the number of the window
     * @param counts the number of requests that started on that node, by client account
     */
    public void report(String run, long window, Map<String, Long> counts) {
        Map<String, Long> known =
                byWindow.computeIfAbsent(window, w -> new HashMap<>())
                        .computeIfAbsent(run, r -> new HashMap<>());
        counts.forEach((account, n) -> known.merge(account, n, Long::max));
        while (byWindow.size() > MAX_WINDOWS) {
            byWindow.pollFirstEntry();
        }
    }

    /** Applies all reports of {@code other}. */
    public void addAll(ClusterUsage other) {
        other.byWindow.forEach(
                (window, runs) -> runs.forEach((run, counts) -> report(run, window, counts)));
    }

    /** Returns the counts of the windows starting with {@code first}, by window and run. */
    public Map<Long, Map<String, Map<String, Long>>> since(long first) {
        Map<Long, Map<String, Map<String, Long>>> copy = new TreeMap<>();
        byWindow.tailMap(first, true)
                .forEach(
                        (window, runs) -> {
                            Map<String, Map<String, Long>> copied = new TreeMap<>();
                            runs.forEach((run, counts) -> copied.put(run, Map.copyOf(counts)));
                            copy.put(window, copied);
                        });
        return copy;
    }

    /** Returns the counts of {@code window} summed over all nodes, by account. */
    public Map<String, Long> total(long window) {
        Map<String, Long> total = new TreeMap<>();
        byWindow.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((a, n) -> total.merge(a, n, Long::sum)));
        return total;
    }
}
