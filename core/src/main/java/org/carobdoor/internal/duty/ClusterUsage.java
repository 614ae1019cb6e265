package org.carobdoor.internal.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The usage counts of all nodes, each as that node last reported them.
 *
 * <p>A node's counts of a window only grow, so its newest report replaces the earlier ones; counts
 * of a node that has stopped stay. Belongs to one thread.
 */
public final class ClusterUsage {
    private static final int KEPT_WINDOWS = 12;

    private final TreeMap<Long, Map<String, Map<String, Long>>> byWindow = new TreeMap<>();

    /** Returns empty counts. */
    public static ClusterUsage create() {
        return new ClusterUsage();
    }

    private ClusterUsage() {}

    /**
     * Applies a report.
     *
     * @param run identifies one run of a node
     * @param window the window
     * @param counts the requests of each client account that began to run on that node
     */
    public void report(String run, long window, Map<String, Long> counts) {
        Map<String, Long> known =
                byWindow.computeIfAbsent(window, w -> new HashMap<>())
                        .computeIfAbsent(run, r -> new HashMap<>());
        counts.forEach((account, n) -> known.merge(account, n, Long::max));
        while (byWindow.size() > KEPT_WINDOWS) {
            byWindow.pollFirstEntry();
        }
    }

    /** Returns the counts of the windows from {@code first} on, by window and run. */
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

    /** Returns the counts of {@code window} over all nodes, by account. */
    public Map<String, Long> total(long window) {
        Map<String, Long> total = new TreeMap<>();
        byWindow.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((a, n) -> total.merge(a, n, Long::sum)));
        return total;
    }
}
