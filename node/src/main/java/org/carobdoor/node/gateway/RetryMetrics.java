package org.carobdoor.node.gateway;

import org.carobdoor.internal.retries.RetryBudgets;

/** Writes the use of the retry budgets as lines of the Prometheus text format. */
final class RetryMetrics {
    private static final String NAME = "carobdoor_gateway_retries";

    private RetryMetrics() {}

    static void write(RetryBudgets budgets, StringBuilder to) {
        to.append("# TYPE ").append(NAME).append(" counter\n");
        budgets.eachGranted((service, n) -> count(to, service, "granted", n));
        budgets.eachDenied((service, n) -> count(to, service, "denied", n));
        to.append("# TYPE carobdoor_gateway_retries_per_window gauge\n")
                .append("carobdoor_gateway_retries_per_window ")
                .append(budgets.fixedRetriesPerWindow())
                .append('\n');
    }

    private static void count(StringBuilder to, String service, String decision, long n) {
        to.append(NAME)
                .append("_total{service=\"")
                .append(service)
                .append("\",decision=\"")
                .append(decision)
                .append("\"} ")
                .append(n)
                .append('\n');
    }
}
