package org.carobdoor.node.gateway.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.capacity.CapacityModel;
import org.carobdoor.internal.capacity.LearnedCapacity;
import org.carobdoor.internal.capacity.ZoneDelays;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.peers.StatusInterval;
import org.carobdoor.internal.placement.DecisionView;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.PromptLanes;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * What the nodes have learned of the endpoints, with its metrics and log lines, and whether
 * requests are placed by it. Confined to the event loop.
 */
public final class LearnedCapacities {
    private static final String PREFIX = "carobdoor_gateway_endpoint_";
    private static final double NANOS_PER_MILLI = 1e6;

    /** A report is between zero and one interval old. */
    private static final double MEAN_AGE_FRACTION = 0.5;

    private static final long MIN_REFRESH_NANOS = 200_000_000L;

    /** Minimum time between two log lines on one endpoint. */
    private static final long LOG_INTERVAL_NANOS = 5_000_000_000L;

    /** Bounds the number of metric series. */
    private static final int MAX_METRIC_ENDPOINTS = 200;

    private final CapacityModel model = CapacityModel.create();
    private final ZoneDelays delays = ZoneDelays.create();
    private final Map<String, PromptLanes> lanes = new HashMap<>();
    private final Map<String, Long> loggedNanos = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final DecisionLog log;
    private Optional<Boolean> setting = Optional.empty();
    private int nodes = 1;
    private long refreshedNanos = System.nanoTime();

    LearnedCapacities(DecisionLog log) {
        this.log = log;
    }

    /** Sets whether requests are placed by learned capacity; empty to decide by the nodes. */
    public void setSetting(Optional<Boolean> learned) {
        setting = learned;
    }

    /** Returns whether requests are placed by learned capacity. */
    public boolean isEnabled() {
        return setting.orElse(StatusInterval.isRelayed(nodes));
    }

    /**
     * Returns whether requests to a service are placed by learned capacity. For engines only the
     * setting decides: two random choices spread prompts over engines that have not cached them.
     *
     * @param engine whether the endpoints are model engines
     */
    public boolean isUsedFor(boolean engine) {
        return engine ? setting.orElse(false) : isEnabled();
    }

    void setNodes(int count) {
        nodes = Math.max(1, count);
    }

    void put(Endpoint endpoint) {
        EndpointEntry entry = endpoint.load().entry();
        endpoints.put(entry.id().value(), endpoint);
        model.update(entry, System.nanoTime());
    }

    void remove(String id) {
        endpoints.remove(id);
        loggedNanos.remove(id);
        model.remove(id);
    }

    void recordConnected(AvailabilityZone zone, long nanos) {
        delays.record(zone, nanos / NANOS_PER_MILLI);
    }

    /**
     * Records the time that a request took at an endpoint.
     *
     * @param load the running requests relative to the slots, including this one
     */
    public void record(
            EndpointLoad endpoint, double load, double expectedMillis, double measuredMillis) {
        if (isEnabled()) {
            model.record(
                    endpoint.entry().id().value(),
                    load,
                    expectedMillis,
                    measuredMillis,
                    System.nanoTime());
        }
    }

    /** Returns the evidence to send in the next status; empty unless it is used. */
    public List<EndpointEvidence> nextEvidence() {
        return isEnabled() ? model.nextEvidence() : List.of();
    }

    /** Applies the evidence of another node. */
    public void receive(String run, List<EndpointEvidence> evidence) {
        if (isEnabled()) {
            model.receive(run, evidence, System.nanoTime());
        }
    }

    void removeSender(String run) {
        model.removeSender(run);
    }

    /** Returns the division of the engines of {@code service}. */
    public PromptLanes lanes(String service) {
        return lanes.computeIfAbsent(service, s -> PromptLanes.create(System.nanoTime()));
    }

    /** Returns what a decision depends on besides the endpoints. */
    public DecisionView view(AvailabilityZone own, RandomGenerator random, long nowNanos) {
        double ageMillis = StatusInterval.nanos(nodes) * MEAN_AGE_FRACTION / NANOS_PER_MILLI;
        return new DecisionView(
                own,
                zone -> delays.additionalMillis(own, zone),
                ageMillis,
                nodes,
                random,
                nowNanos);
    }

    /** Computes the estimates and passes them to the endpoints. Called several times per second. */
    public void refresh(long nowNanos) {
        if (!isEnabled() || nowNanos - refreshedNanos < MIN_REFRESH_NANOS) {
            return;
        }
        refreshedNanos = nowNanos;
        model.refresh(nowNanos).forEach(change -> logChange(change, nowNanos));
        endpoints.forEach((id, e) -> model.capacity(id).ifPresent(e.load()::setCapacity));
    }

    private void logChange(CapacityModel.Change change, long nowNanos) {
        String id = change.entry().id().value();
        Long last = loggedNanos.get(id);
        if (last != null && nowNanos - last < LOG_INTERVAL_NANOS) {
            return;
        }
        loggedNanos.put(id, nowNanos);
        LearnedCapacity c = change.capacity();
        log.line("endpoint.limit")
                .add("endpoint", id)
                .add("service", change.entry().service())
                .add("limit", c.limit())
                .add("before", change.previousLimit())
                .add("slots", change.entry().slots())
                .add("slowdown", Math.round(c.slowdown() * 100) / 100.0)
                .add("requests", Math.round(c.evidence()))
                .add("age_ms", c.ageMillis())
                .write();
    }

    /** Writes the metrics in the Prometheus text format. */
    public void write(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_learned_placement gauge\n")
                .append("carobdoor_gateway_learned_placement ")
                .append(isEnabled() ? 1 : 0)
                .append('\n');
        if (!isEnabled()) {
            return;
        }
        writeGauge(to, "limit", c -> c.limit());
        writeGauge(to, "slowdown", c -> Math.round(c.slowdown() * 100) / 100.0);
        writeGauge(to, "evidence_requests", c -> Math.round(c.evidence()));
        writeGauge(to, "evidence_age_ms", c -> c.evidence() > 0 ? c.ageMillis() : -1);
    }

    private interface Value {
        Number of(LearnedCapacity capacity);
    }

    private void writeGauge(StringBuilder to, String name, Value value) {
        to.append("# TYPE ").append(PREFIX).append(name).append(" gauge\n");
        endpoints.values().stream()
                .limit(MAX_METRIC_ENDPOINTS)
                .forEach(
                        e ->
                                to.append(PREFIX)
                                        .append(name)
                                        .append("{endpoint=\"")
                                        .append(e.load().entry().id().value())
                                        .append("\",service=\"")
                                        .append(e.load().entry().service())
                                        .append("\"} ")
                                        .append(value.of(e.load().capacity()))
                                        .append('\n'));
    }
}
