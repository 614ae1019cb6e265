package org.carobdoor.node.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.quarantine.CrashQuarantine;
import org.carobdoor.internal.quarantine.QuarantineDecision;
import org.carobdoor.internal.quarantine.QuarantineStoreStep;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineMessage;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * The quarantine of this node: applies what forwarding and the other nodes observe, and logs and
 * counts its decisions. Confined to the event loop.
 */
public final class RequestQuarantine {
    /** Entries in one notice, which keeps a message at a few kilobytes. */
    private static final int ENTRIES_PER_NOTICE = 64;

    private final CrashQuarantine quarantine;
    private final LongSupplier clusterMillis;
    private final DecisionLog log;
    private Consumer<QuarantineMessage> broadcast = m -> {};
    private Runnable onAdded = () -> {};
    private long crashes;
    private long refusals;
    private long trials;

    private RequestQuarantine(
            CrashQuarantine quarantine, LongSupplier clusterMillis, DecisionLog log) {
        this.quarantine = quarantine;
        this.clusterMillis = clusterMillis;
        this.log = log;
    }

    /** Returns an empty quarantine of the node that runs as {@code run}. */
    public static RequestQuarantine create(
            String run, RandomGenerator random, LongSupplier clusterMillis, DecisionLog log) {
        return new RequestQuarantine(CrashQuarantine.create(run, random), clusterMillis, log);
    }

    /** Sets the consumer that sends a message to all other nodes. */
    public void setBroadcast(Consumer<QuarantineMessage> newBroadcast) {
        broadcast = newBroadcast;
    }

    /** Sets the task that runs when a pattern has been quarantined. */
    public void onAdded(Runnable task) {
        onAdded = task;
    }

    /** Returns whether no pattern is quarantined. */
    public boolean isEmpty() {
        return quarantine.isEmpty();
    }

    /** Decides on a request that has just arrived. A trial is used up by this call. */
    public QuarantineDecision decide(String requestId, RequestFeatures features) {
        QuarantineDecision decision =
                quarantine.decide(features, System.nanoTime(), clusterMillis.getAsLong());
        switch (decision) {
            case QuarantineDecision.Allowed a -> {}
            case QuarantineDecision.Trial(QuarantineEntry entry) -> {
                trials++;
                line("quarantine.trial", entry).add("id", requestId).write();
            }
            case QuarantineDecision.Refused(QuarantineEntry entry, long retryAfter) -> {
                refusals++;
                line("quarantine.refused", entry).add("id", requestId).write();
            }
        }
        return decision;
    }

    /** Returns the entry that forbids sending a request now, if there is one. */
    public Optional<QuarantineEntry> find(RequestFeatures features) {
        return quarantine.find(features);
    }

    /** Returns whether a request whose connection broke must not be sent again. */
    public boolean isSuspect(RequestFeatures features) {
        return quarantine.isSuspect(features, System.nanoTime());
    }

    /**
     * Records that an endpoint did not crash on a request whose answer began at {@code
     * answerNanos}.
     */
    public void recordAnswer(RequestFeatures features, long answerNanos) {
        for (FeatureClearance c :
                quarantine.recordAnswer(features, answerNanos, System.nanoTime())) {
            log.line("quarantine.cleared")
                    .add("feature", c.feature())
                    .add("crashes", c.crashes().size())
                    .write();
            broadcast.accept(c);
        }
    }

    /**
     * Records that an endpoint has crashed.
     *
     * @param requests the requests of this node whose answers had not begun or just begun
     */
    public void recordCrash(EndpointId endpoint, List<RequestFeatures> requests) {
        crashes++;
        long now = System.nanoTime();
        long millis = clusterMillis.getAsLong();
        CrashId crash = new CrashId(endpoint.value(), millis);
        Optional<CrashReport> report = quarantine.report(crash, requests, now);
        log.line("endpoint.crashed")
                .add("endpoint", endpoint)
                .add("requests", requests.size())
                .add("suspects", report.map(r -> suspects(r.requests())).orElse(List.of()))
                .write();
        if (report.isPresent()) {
            broadcast.accept(report.get());
            List<QuarantineEntry> added = quarantine.applyOwn(report.get(), now, millis);
            if (!added.isEmpty()) {
                broadcast.accept(new QuarantineNotice(added));
                logAdded(added, "crash of " + endpoint);
            }
        }
    }

    private static List<RequestFeature> suspects(List<RequestFeatures> requests) {
        List<RequestFeature> suspects = new ArrayList<>();
        requests.forEach(r -> suspects.addAll(r.shared()));
        return suspects;
    }

    /** Applies a message of another node. */
    public void receive(QuarantineMessage message, String from) {
        long now = System.nanoTime();
        switch (message) {
            case CrashReport r ->
                    logAdded(
                            quarantine.apply(r, now, clusterMillis.getAsLong()),
                            "crash of " + r.crash().endpoint() + " reported by " + from);
            case FeatureClearance c -> quarantine.apply(c, now);
            case QuarantineNotice n -> logAdded(quarantine.apply(n, now), "notice of " + from);
        }
    }

    /** Applies an entry of the store. */
    public void put(QuarantineEntry entry, long revision) {
        if (quarantine.put(entry, revision, System.nanoTime())) {
            logAdded(List.of(entry), "store revision " + revision);
        }
    }

    /** Applies the deletion of an entry from the store. */
    public void remove(RequestPattern pattern, long revision) {
        if (quarantine.remove(pattern, revision)) {
            logLifted(pattern, revision);
        }
    }

    /** Removes the entries that a complete read of the store at {@code revision} lacks. */
    public void removeMissing(Set<RequestPattern> listed, long revision) {
        quarantine
                .removeMissing(listed, revision, System.nanoTime())
                .forEach(p -> logLifted(p, revision));
    }

    /** Returns the number of quarantined patterns. */
    public int size() {
        return quarantine.size();
    }

    /** Returns the writes to the store that are due. */
    public List<QuarantineStoreStep> dueSteps() {
        return quarantine.dueSteps(System.nanoTime(), clusterMillis.getAsLong());
    }

    /** Records that the store has not carried out a write. */
    public void stepFailed(QuarantineStoreStep step) {
        quarantine.stepFailed(step);
    }

    /** Records that the store answers again. */
    public void storeRegained() {
        quarantine.storeRegained(System.nanoTime());
    }

    /** Records that a write has taken effect. */
    public void stepWritten(QuarantineStoreStep step, long revision) {
        quarantine.stepWritten(step, revision, System.nanoTime());
        log.line("quarantine.written")
                .add("step", step.getClass().getSimpleName())
                .add("pattern", step.pattern())
                .add("revision", revision)
                .write();
    }

    /** Returns a value by which nodes detect that they know different patterns. */
    public long digest() {
        return quarantine.digest();
    }

    /** Returns the notices that tell another node of all entries. */
    public List<QuarantineNotice> notices() {
        List<QuarantineNotice> notices = new ArrayList<>();
        List<QuarantineEntry> entries = quarantine.entries();
        for (int i = 0; i < entries.size(); i += ENTRIES_PER_NOTICE) {
            int end = Math.min(entries.size(), i + ENTRIES_PER_NOTICE);
            notices.add(new QuarantineNotice(entries.subList(i, end)));
        }
        return notices;
    }

    /** Appends the metrics in the Prometheus text format. */
    public void writeMetrics(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_quarantined_patterns gauge\n")
                .append("carobdoor_gateway_quarantined_patterns ")
                .append(quarantine.size())
                .append("\n# TYPE carobdoor_gateway_quarantine_refusals counter\n")
                .append("carobdoor_gateway_quarantine_refusals_total ")
                .append(refusals)
                .append("\n# TYPE carobdoor_gateway_quarantine_trials counter\n")
                .append("carobdoor_gateway_quarantine_trials_total ")
                .append(trials)
                .append("\n# TYPE carobdoor_gateway_endpoint_crashes counter\n")
                .append("carobdoor_gateway_endpoint_crashes_total ")
                .append(crashes)
                .append('\n');
    }

    private void logAdded(Collection<QuarantineEntry> added, String source) {
        for (QuarantineEntry e : added) {
            line("quarantine.added", e).add("source", '"' + source + '"').write();
        }
        if (!added.isEmpty()) {
            onAdded.run();
        }
    }

    private void logLifted(RequestPattern pattern, long revision) {
        log.line("quarantine.lifted").add("pattern", pattern).add("revision", revision).write();
    }

    private DecisionLog.Line line(String event, QuarantineEntry e) {
        return log.line(event)
                .add("pattern", e.pattern())
                .add("crashes", e.crashes())
                .add("by", e.node())
                .add("age_ms", clusterMillis.getAsLong() - e.sinceMillis())
                .add("trials", e.trials());
    }
}
