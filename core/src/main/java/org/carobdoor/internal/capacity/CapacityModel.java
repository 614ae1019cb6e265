package org.carobdoor.internal.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.message.EndpointEvidence;

/**
 * Learns how fast the endpoints are from the service times that all nodes have measured.
 *
 * <p>This answers clusters in which each node sends an endpoint one request in a hundred and would
 * learn too late alone. Times are compared with those of the other endpoints of the service, so the
 * expected times of requests need only be right relative to each other. The times of a node that
 * measures long times at all endpoints are reduced by its own slowness. An endpoint that has
 * restarted begins without evidence.
 *
 * <p>Not thread-safe.
 */
public final class CapacityModel {
    /** Evidence at low load that an endpoint needs to count for the usual speed of its service. */
    private static final double MIN_NOMINAL_REQUESTS = 3;

    /** A node that takes longer than this multiple of the usual time says no more than that. */
    private static final double MAX_TIME_FACTOR = 30;

    /** The run under which the measurements of this node are kept. */
    private static final String OWN = "";

    /**
     * A change of the learned limit.
     *
     * @param entry the entry of the endpoint
     * @param previousLimit the number of concurrent requests that it took well before
     * @param capacity the new estimate
     */
    public record Change(EndpointEntry entry, int previousLimit, LearnedCapacity capacity) {}

    private static final class Tracked {
        private EndpointEntry entry;
        private final ServiceTimeModel model;
        private LearnedCapacity capacity;

        Tracked(EndpointEntry entry, long nowNanos) {
            this.entry = entry;
            this.model = ServiceTimeModel.create(nowNanos);
            this.capacity = LearnedCapacity.nominal(entry.slots());
        }
    }

    private static final class ServiceTimes {
        private final SenderSpeed all;
        private final Map<String, SenderSpeed> bySender = new HashMap<>();
        private double nominalFactor = 1;
        private boolean nominalMeasured;

        ServiceTimes(long nowNanos) {
            all = new SenderSpeed(nowNanos);
        }
    }

    private final Map<String, Tracked> endpoints = new HashMap<>();
    private final Map<String, ServiceTimes> services = new HashMap<>();
    private final Map<String, SenderEvidence> senders = new HashMap<>();
    private final EvidenceTotals own = new EvidenceTotals();

    private CapacityModel() {}

    /** Returns a model without endpoints. */
    public static CapacityModel create() {
        return new CapacityModel();
    }

    /** Adds an endpoint, or replaces its entry; the evidence is kept unless it has restarted. */
    public void update(EndpointEntry entry, long nowNanos) {
        String id = entry.id().value();
        Tracked t = endpoints.get(id);
        if (t != null
                && t.entry.service().equals(entry.service())
                && t.entry.startedAtMillis() == entry.startedAtMillis()) {
            t.entry = entry;
            return;
        }
        endpoints.put(id, new Tracked(entry, nowNanos));
        own.start(id, entry.startedAtMillis());
    }

    /** Removes an endpoint with its evidence. */
    public void remove(String id) {
        endpoints.remove(id);
        own.remove(id);
        senders.values().forEach(s -> s.remove(id));
    }

    /**
     * Records a request of this node.
     *
     * @param id the endpoint
     * @param load the running requests relative to the slots, including this one
     * @param expectedMillis the time expected at an unloaded endpoint
     * @param measuredMillis the measured time
     */
    public void record(
            String id, double load, double expectedMillis, double measuredMillis, long nowNanos) {
        Tracked t = endpoints.get(id);
        int bucket = LoadBuckets.of(load);
        if (t != null && ServiceTimeModel.isValid(bucket, 1, expectedMillis, measuredMillis)) {
            own.add(id, bucket, expectedMillis, measuredMillis);
            add(OWN, t, bucket, 1, expectedMillis, measuredMillis, nowNanos);
        }
    }

    /** Returns the evidence to send in the next status: that of a few endpoints with news. */
    public List<EndpointEvidence> nextEvidence() {
        return own.next();
    }

    /**
     * Applies the evidence of another node. That of another start of an endpoint is ignored.
     *
     * @param run identifies the process of that node
     */
    public void receive(String run, List<EndpointEvidence> evidence, long nowNanos) {
        for (EndpointEvidence e : evidence) {
            Tracked t = endpoints.get(e.endpoint());
            if (t != null && t.entry.startedAtMillis() == e.startedAtMillis()) {
                senders.computeIfAbsent(run, r -> new SenderEvidence())
                        .apply(e, (b, n, x, m) -> add(run, t, b, n, x, m, nowNanos));
            }
        }
    }

    /** Forgets the totals of a node that has left. */
    public void removeSender(String run) {
        senders.remove(run);
        services.values().forEach(s -> s.bySender.remove(run));
    }

    private void add(
            String run,
            Tracked t,
            int bucket,
            double count,
            double expectedMillis,
            double measuredMillis,
            long nowNanos) {
        if (!ServiceTimeModel.isValid(bucket, count, expectedMillis, measuredMillis)) {
            return;
        }
        ServiceTimes s =
                services.computeIfAbsent(t.entry.service(), k -> new ServiceTimes(nowNanos));
        double max = expectedMillis * s.nominalFactor * MAX_TIME_FACTOR;
        double bounded = Math.min(measuredMillis, max);
        SenderSpeed sender = s.bySender.computeIfAbsent(run, r -> new SenderSpeed(nowNanos));
        sender.add(count, expectedMillis, bounded, nowNanos);
        s.all.add(count, expectedMillis, bounded, nowNanos);
        double slowness = sender.slownessAgainst(s.all);
        t.model.add(bucket, count, expectedMillis, bounded / slowness, nowNanos);
    }

    /** Computes the estimates; returns those whose limit has changed. */
    public List<Change> refresh(long nowNanos) {
        services.forEach((name, s) -> updateNominalFactor(name, s, nowNanos));
        List<Change> changes = new ArrayList<>();
        for (Tracked t : endpoints.values()) {
            int before = t.capacity.limit();
            ServiceTimes s = services.get(t.entry.service());
            double nominal = s == null ? 1 : s.nominalFactor;
            t.capacity = t.model.estimate(t.entry.slots(), nominal, nowNanos);
            if (t.capacity.limit() != before) {
                changes.add(new Change(t.entry, before, t.capacity));
            }
        }
        return changes;
    }

    /**
     * Takes the lower quartile of the endpoints, which slow ones do not move while some are not.
     */
    private void updateNominalFactor(String name, ServiceTimes s, long nowNanos) {
        double[] factors =
                endpoints.values().stream()
                        .filter(t -> t.entry.service().equals(name))
                        .mapToDouble(t -> t.model.lowLoadFactor(MIN_NOMINAL_REQUESTS, nowNanos))
                        .filter(f -> !Double.isNaN(f))
                        .sorted()
                        .toArray();
        if (factors.length > 0) {
            s.nominalFactor = factors[(factors.length - 1) / 4];
            s.nominalMeasured = true;
        } else if (!s.nominalMeasured) {
            s.nominalFactor = s.all.factor();
        }
    }

    /** Returns the latest estimate for an endpoint, if it is known. */
    public Optional<LearnedCapacity> capacity(String id) {
        return Optional.ofNullable(endpoints.get(id)).map(t -> t.capacity);
    }
}
