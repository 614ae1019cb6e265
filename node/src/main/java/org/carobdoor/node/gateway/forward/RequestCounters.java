package org.carobdoor.node.gateway.forward;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.carobdoor.internal.directory.NewsSource;

/**
 * Counts requests by outcome, sends and retries, and records latencies. Confined to the event loop.
 */
public final class RequestCounters {
    private static final long MAX_LATENCY_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Histogram latency = new Histogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS);
    private final Map<String, Long> sends = new TreeMap<>();
    private final Map<String, Long> repeats = new TreeMap<>();
    private final Map<String, Long> resumes = new TreeMap<>();
    private final Map<NewsSource.Kind, Long> withheld = new EnumMap<>(NewsSource.Kind.class);

    /** Creates counters that start at zero. */
    public static RequestCounters create() {
        return new RequestCounters();
    }

    private RequestCounters() {}

    void recordEnd(Outcome outcome, long millis) {
        outcomes.merge(outcome, 1L, Long::sum);
        latency.recordValue(Math.clamp(millis, 0, MAX_LATENCY_MILLIS));
    }

    void recordSend(String service, boolean isRepeat) {
        sends.merge(service, 1L, Long::sum);
        if (isRepeat) {
            repeats.merge(service, 1L, Long::sum);
        }
    }

    /**
     * Counts a request that was not written because its endpoint began to leave after it had been
     * chosen.
     *
     * @param source how this node has learned of it
     */
    void recordWithheld(NewsSource.Kind source) {
        withheld.merge(source, 1L, Long::sum);
    }

    /**
     * Counts a request that takes up a stream.
     *
     * @param source what told the version of the stream; {@code unknown} if nothing did
     */
    void recordResume(String source) {
        resumes.merge(source, 1L, Long::sum);
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
        writeByService(to, "carobdoor_gateway_sends", sends);
        writeByService(to, "carobdoor_gateway_repeats", repeats);
        to.append("# TYPE carobdoor_gateway_sends_withheld counter\n");
        for (NewsSource.Kind k : NewsSource.Kind.values()) {
            to.append("carobdoor_gateway_sends_withheld_total{source=\"")
                    .append(k.label())
                    .append("\"} ")
                    .append(withheld.getOrDefault(k, 0L))
                    .append('\n');
        }
        to.append("# TYPE carobdoor_gateway_streams_resumed counter\n");
        resumes.forEach(
                (source, n) ->
                        to.append("carobdoor_gateway_streams_resumed_total{version_from=\"")
                                .append(source)
                                .append("\"} ")
                                .append(n)
                                .append('\n'));
        to.append("# TYPE carobdoor_gateway_latency_ms summary\n");
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

    private static void writeByService(StringBuilder to, String name, Map<String, Long> counts) {
        to.append("# TYPE ").append(name).append(" counter\n");
        counts.forEach(
                (service, n) ->
                        to.append(name)
                                .append("_total{service=\"")
                                .append(service)
                                .append("\"} ")
                                .append(n)
                                .append('\n'));
    }
}
