package org.carobdoor.node.gateway.forward;

import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Counts the retries that were granted and denied by service and cause since the last summary.
 * Confined to the event loop.
 */
final class RetryTally {
    private static final double HUNDREDTHS = 100.0;

    private final Map<String, Counts> services = new TreeMap<>();

    private static final class Counts {
        final Map<String, Integer> granted = new TreeMap<>();
        final Map<String, Integer> denied = new TreeMap<>();
    }

    /** Counts a retry that was asked for because an attempt failed for {@code cause}. */
    void record(String service, String cause, boolean granted) {
        Counts c = services.computeIfAbsent(service, s -> new Counts());
        (granted ? c.granted : c.denied).merge(cause, 1, Integer::sum);
    }

    /** Logs a line for each service with granted or denied retries, and starts to count anew. */
    void writeSummary(RetryBudgets budgets, DecisionLog log, long nowNanos) {
        services.forEach(
                (service, c) ->
                        log.line("retries")
                                .add("service", service)
                                .add("granted", c.granted)
                                .add("denied", c.denied)
                                .add("balance", rounded(budgets.balance(service, nowNanos)))
                                .add("nodes", budgets.nodes())
                                .writeSummary());
        services.clear();
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }
}
