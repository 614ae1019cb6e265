package org.carobdoor.node.gateway;

import org.carobdoor.internal.retries.RetryBudgets;

/** Writes the metrics of the retry budgets in the Prometheus text format. */
final class RetryMetrics {
    private static final String RETRIES = "carobdoor_gateway_retries";
    private static final String BALANCE = "carobdoor_gateway_retry_balance";

    private RetryMetrics() {}

    static void write(RetryBudgets budgets, StringBuilder to) {
        to.append("# TYPE ").append(RETRIES).append(" counter\n");
        budgets.eachGranted((service, n) -> writeCounter(to, service, "granted", n));
        budgets.eachDenied((service, n) -> writeCounter(to, service, "denied", n));
        to.append("# TYPE carobdoor_gateway_retries_per_window gauge\n")
                .append("carobdoor_gateway_retries_per_window ")
                .append(budgets.fixedRetriesPerWindow())
                .append("\n# TYPE carobdoor_gateway_retry_nodes gauge\n")
                .append("carobdoor_gateway_retry_nodes ")
                .append(budgets.nodes())
                .append('\n');
        to.append("# TYPE ").append(BALANCE).append(" gauge\n");
        budgets.eachBalance(
                System.nanoTime(),
                (service, balance) ->
                        to.append(BALANCE)
                                .append("{service=\"")
                                .append(service)
                                .append("\"} ")
                                .append(balance)
                                .append('\n'));
    }

    private static void writeCounter(StringBuilder to, String service, String decision, long n) {
        to.append(RETRIES)
                .append("_total{service=\"")
                .append(service)
                .append("\",decision=\"")
                .append(decision)
                .append("\"} ")
                .append(n)
                .append('\n');
    }
}
