package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;

/**
 * Refuses requests that crash endpoints, such as those with one part of a prompt, on all nodes.
 *
 * <p>Each node reports the crashes that its own requests may have caused, and the answers that
 * clear a suspect, to all others. All nodes weigh the same reports, so that each quarantines a
 * pattern at the same crash. A partitioned zone decides on its own reports. The store keeps the
 * quarantined patterns for nodes that start later.
 *
 * <pre>{@code
 * quarantine.report(crash, requests, now).ifPresent(r -> {
 *     network.sendToAll(r);
 *     quarantine.applyOwn(r, now, millis);
 * });
 * switch (quarantine.decide(features, now, millis)) {
 *     case QuarantineDecision.Refused r -> ...
 *     case QuarantineDecision.Trial t -> ...
 *     case QuarantineDecision.Allowed a -> ...
 * }
 * }</pre>
 *
 * <p>Not thread-safe; each instance is confined to one thread.
 */
public final class CrashQuarantine {
    private final CrashSuspicions suspicions = new CrashSuspicions();
    private final QuarantineTable table;
    private final String run;

    private CrashQuarantine(String run, RandomGenerator random) {
        this.run = run;
        this.table = new QuarantineTable(random);
    }

    /** Returns an empty quarantine of the node that runs as {@code run}. */
    public static CrashQuarantine create(String run, RandomGenerator random) {
        return new CrashQuarantine(run, random);
    }

    /**
     * Returns the report of a crash that interrupted requests of this node before their answers
     * began; empty if none of them is a suspect. The report must be sent to all nodes and {@link
     * #applyOwn applied} here.
     */
    public Optional<CrashReport> report(
            CrashId crash, List<RequestFeatures> requests, long nowNanos) {
        return suspicions.report(crash, requests, nowNanos);
    }

    /**
     * Applies a report of this node, and returns the patterns that are quarantined because of it.
     *
     * @param nowMillis the cluster time
     */
    public List<QuarantineEntry> applyOwn(CrashReport report, long nowNanos, long nowMillis) {
        return apply(report, true, nowNanos, nowMillis);
    }

    /**
     * Applies a report of another node, and returns the patterns that are quarantined because of
     * it.
     *
     * @param nowMillis the cluster time
     */
    public List<QuarantineEntry> apply(CrashReport report, long nowNanos, long nowMillis) {
        return apply(report, false, nowNanos, nowMillis);
    }

    private List<QuarantineEntry> apply(
            CrashReport report, boolean own, long nowNanos, long nowMillis) {
        List<QuarantineEntry> added = new ArrayList<>();
        for (RequestPattern p : suspicions.apply(report, nowNanos)) {
            QuarantineEntry e =
                    new QuarantineEntry(
                            p,
                            nowMillis,
                            run,
                            suspicions.crashCount(p.features().getFirst(), nowNanos),
                            0,
                            nowMillis + QuarantineTable.FIRST_TRIAL_MILLIS,
                            nowMillis);
            if (table.add(e, own, nowNanos)) {
                added.add(e);
            }
        }
        return added;
    }

    /** Applies the entries that another node knows; returns those that are new here. */
    public List<QuarantineEntry> apply(QuarantineNotice notice, long nowNanos) {
        return notice.entries().stream().filter(e -> table.add(e, false, nowNanos)).toList();
    }

    /**
     * Records that an endpoint did not crash on a request whose answer began at {@code
     * answerNanos}; returns the clearances that must be sent to all nodes.
     */
    public List<FeatureClearance> recordAnswer(
            RequestFeatures features, long answerNanos, long nowNanos) {
        List<FeatureClearance> clearances =
                suspicions.recordAnswer(features, answerNanos, nowNanos);
        if (!clearances.isEmpty()) {
            removeCleared(nowNanos);
        }
        table.recordAnswer(features, answerNanos);
        return clearances;
    }

    /** Applies a clearance of another node. */
    public void apply(FeatureClearance clearance, long nowNanos) {
        suspicions.apply(clearance, nowNanos);
        removeCleared(nowNanos);
    }

    private void removeCleared(long nowNanos) {
        table.removeUnsavedUnless(p -> suspicions.isIncriminated(p, nowNanos));
    }

    /**
     * Returns whether a request must not be sent again after the endpoint that it was sent to has
     * broken its connection, because it may be the cause of another crash too.
     */
    public boolean isSuspect(RequestFeatures features, long nowNanos) {
        return suspicions.isSuspect(features, nowNanos) || table.find(features).isPresent();
    }

    /** Returns whether no pattern is quarantined. */
    public boolean isEmpty() {
        return table.isEmpty();
    }

    /** Returns the number of quarantined patterns. */
    public int size() {
        return table.size();
    }

    /** Returns the quarantined patterns. */
    public List<QuarantineEntry> entries() {
        return table.entries();
    }

    /** Returns a value by which nodes detect that they know different patterns. */
    public long digest() {
        return table.digest();
    }

    /**
     * Decides on a request that has just arrived. A trial is used up by this call.
     *
     * @param nowMillis the cluster time
     */
    public QuarantineDecision decide(RequestFeatures features, long nowNanos, long nowMillis) {
        return table.decide(features, nowNanos, nowMillis);
    }

    /** Returns the entry that forbids sending a request now, if there is one. */
    public Optional<QuarantineEntry> find(RequestFeatures features) {
        return table.find(features);
    }

    /** Applies an entry of the store; returns whether its pattern was not quarantined before. */
    public boolean put(QuarantineEntry entry, long revision, long nowNanos) {
        return table.put(entry, revision, nowNanos);
    }

    /**
     * Applies the deletion of an entry from the store; returns whether the pattern was quarantined.
     */
    public boolean remove(RequestPattern pattern, long revision) {
        suspicions.forget(pattern);
        return table.remove(pattern, revision);
    }

    /**
     * Removes and returns the patterns that a complete read of the store no longer lists. Those
     * that were written in a former era of the store are kept and written again.
     */
    public List<RequestPattern> removeMissing(
            Set<RequestPattern> listed, long revision, long nowNanos) {
        List<RequestPattern> removed = table.removeMissing(listed, revision, nowNanos);
        removed.forEach(suspicions::forget);
        return removed;
    }

    /**
     * Returns the writes to the store that are due; each is returned again later unless its result
     * is {@link #stepWritten recorded}.
     *
     * @param nowMillis the cluster time
     */
    public List<QuarantineStoreStep> dueSteps(long nowNanos, long nowMillis) {
        return table.dueSteps(nowNanos, nowMillis);
    }

    /** Records that the store has not carried out a write. */
    public void stepFailed(QuarantineStoreStep step) {
        table.stepFailed(step);
    }

    /** Records that the store answers again, so that writes which failed can be made. */
    public void storeRegained(long nowNanos) {
        table.storeRegained(nowNanos);
    }

    /** Records that a write has taken effect. */
    public void stepWritten(QuarantineStoreStep step, long revision, long nowNanos) {
        if (step instanceof QuarantineStoreStep.Delete) {
            suspicions.forget(step.pattern());
        }
        table.stepWritten(step, revision, nowNanos);
    }
}
