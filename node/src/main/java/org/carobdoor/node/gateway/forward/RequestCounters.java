package org.carobdoor.node.gateway.forward;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts requests by outcome, sends and retries, and records latencies. Confined to the event loop.
 */
public final class RequestCounters {
    private static final long MAX_LATENCY_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Histogram latency = new Histogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS);
    private long sends;
    private long retries;

    /** Creates counters that start at zero. */
    public static RequestCounters create() {
        return new RequestCounters();
    }

    private RequestCounters() {}

    void recordEnd(Outcome outcome, long millis) {
        outcomes.merge(outcome, 1L, Long::sum);
        latency.recordValue(Math.clamp(millis, 0, MAX_LATENCY_MILLIS));
    }

    void recordSend(boolean isRetry) {
        sends++;
        if (isRetry) {
            retries++;
        }
    }

    /** Writes the counters as lines of the Prometheus text format. */
    public void write(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_requests counter\n");
        for (Outcome o : Outcome.values()) {
            to.append("carobdoor_gateway_requests_total{outcome=\"")
                    .append(o.label())
                    .append("\"} ")
                    .append(outcomes.getOrDefault(o, 0L))
                    .append('\n');
        }
        to.append("# TYPE carobdoor_gateway_sends counter\ncarobdoor_gateway_sends_total ")
                .append(sends)
                .append("\n# TYPE carobdoor_gateway_repeats counter\n")
                .append("carobdoor_gateway_repeats_total ")
                .append(retries)
                .append("\n# TYPE carobdoor_gateway_latency_ms summary\n");
        for (double q : new double[] {0.5, 0.9, 0.99}) {
            to.append("carobdoor_gateway_latency_ms{quantile=\"")
                    .append(q)
                    .append("\"} ")
                    .append(latency.getValueAtPercentile(q * 100))
                    .append('\n');
        }
        to.append("carobdoor_gateway_latency_ms_count ")
                .append(latency.getTotalCount())
                .append('\n');
    }
}
