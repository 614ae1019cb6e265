package org.carobdoor.node.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMemoryMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * The Prometheus metrics of the daemon.
 *
 * <pre>{@code
 * NodeMetrics metrics = NodeMetrics.create();
 * metrics.request("lot-drafts", "ran");
 * }</pre>
 */
public final class NodeMetrics {
    private static final double[] BUCKETS_SECONDS = {
        0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 1.8, 3, 10, 30, 100
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            counter("carobdoor_requests", "Requests ended, by entry and run state", "entry", "run");
    private final Counter problems =
            counter("carobdoor_problems", "Problem documents sent, by problem", "problem");
    private final Counter tokens = counter("carobdoor_tokens", "Tokens sent to callers", "entry");
    private final Counter events =
            counter("carobdoor_events", "Events inside the node, by kind", "event");
    private final Histogram timeToFirstToken =
            histogram("carobdoor_first_token_seconds", "Time from request to first token");
    private final Histogram serviceAnswerDuration =
            histogram("carobdoor_service_answer_seconds", "Time of calls of plain services");

    private final Histogram claimDuration =
            Histogram.builder()
                    .name("carobdoor_claim_seconds")
                    .help("Time that claiming a call takes")
                    .classicOnly()
                    .classicUpperBounds(BUCKETS_SECONDS)
                    .register(registry);

    private NodeMetrics() {
        JvmMemoryMetrics.builder().register(registry);
    }

    /** Creates metrics with a new registry. */
    public static NodeMetrics create() {
        return new NodeMetrics();
    }

    /** Counts a request of {@code entry} that ended with the run state {@code runState}. */
    public void request(String entry, String runState) {
        requests.labelValues(entry, runState).inc();
    }

    /** Counts a problem document with the identifier {@code slug}. */
    public void problem(String slug) {
        problems.labelValues(slug).inc();
    }

    /** Counts tokens sent to a caller. */
    public void tokens(String entry, int count) {
        tokens.labelValues(entry).inc(count);
    }

    /** Counts {@code n} events of the kind {@code kind}. */
    public void event(String kind, long n) {
        events.labelValues(kind).inc(n);
    }

    /** Returns the number of events of the kind {@code kind} so far. */
    public long events(String kind) {
        return events.labelValues(kind).getLongValue();
    }

    /** Records the time to first token of a request, in seconds. */
    public void timeToFirstToken(String entry, double seconds) {
        timeToFirstToken.labelValues(entry).observe(seconds);
    }

    /** Records the duration of a call to a plain service, in seconds. */
    public void serviceAnswer(String entry, double seconds) {
        serviceAnswerDuration.labelValues(entry).observe(seconds);
    }

    /** Records the duration of a claim, in seconds. */
    public void claimTime(double seconds) {
        claimDuration.observe(seconds);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] scrape() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toByteArray();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("entry")
                .classicOnly()
                .classicUpperBounds(BUCKETS_SECONDS)
                .register(registry);
    }
}
