package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;

/**
 * Weighs for each feature the crashes of endpoints that were about to answer a request with it
 * against the answers to requests with it.
 *
 * <p>A crash interrupts the requests of many callers, of which one is the cause, and that request
 * has several features. Each is a suspect until an endpoint has begun to answer a request with it
 * after the crash and has not crashed. A feature is incriminated by {@link #CRASH_THRESHOLD}
 * crashes without an answer in between, of more than one request.
 *
 * <p>Not thread-safe.
 */
final class CrashSuspicions {
    /**
     * Crashes that incriminate a feature. Two can have a rare feature in common by chance; each
     * further one costs an endpoint with all its running answers.
     */
    static final int CRASH_THRESHOLD = 3;

    /**
     * A feature whose last answer is younger than this is not suspected, so that features of most
     * requests are not reported with each crash.
     */
    static final long PROVEN_NANOS = 2_000_000_000L;

    /** Features for which evidence is kept; the one used least recently is dropped. */
    static final int MAX_FEATURES = 4_096;

    /** Features whose last answer is remembered. */
    static final int MAX_PROVEN_FEATURES = 4_096;

    /** Limits the size of a report, whatever features a caller declares. */
    static final int MAX_REPORTED_FEATURES = 16;

    static final int MAX_REPORTED_REQUESTS = 8;

    private final Map<RequestFeature, CrashEvidence> evidence =
            new LeastRecentlyUsedMap<>(MAX_FEATURES);
    private final Map<RequestFeature, Long> provenAtNanos =
            new LeastRecentlyUsedMap<>(MAX_PROVEN_FEATURES);

    /** Returns the report of a crash for all nodes; empty if no feature is a suspect. */
    Optional<CrashReport> report(CrashId crash, List<RequestFeatures> requests, long nowNanos) {
        List<RequestFeatures> reported = new ArrayList<>();
        for (RequestFeatures r : requests) {
            List<RequestFeature> suspects =
                    r.shared().stream().filter(f -> !isProven(f, nowNanos)).toList();
            boolean suspect = !suspects.isEmpty() || !isProven(r.own(), nowNanos);
            if (suspect && reported.size() < MAX_REPORTED_REQUESTS) {
                reported.add(new RequestFeatures(limit(suspects, crash), r.own()));
            }
        }
        return reported.isEmpty()
                ? Optional.empty()
                : Optional.of(new CrashReport(crash, reported));
    }

    /**
     * Selects the features to report: suspects of earlier crashes first, then a selection that is
     * different for each crash, so that a feature among very many is selected sooner or later.
     */
    private List<RequestFeature> limit(List<RequestFeature> suspects, CrashId crash) {
        if (suspects.size() <= MAX_REPORTED_FEATURES) {
            return suspects;
        }
        long seed = Rendezvous.hash(crash.endpoint() + crash.atMillis());
        return suspects.stream()
                .sorted(
                        Comparator.comparing((RequestFeature f) -> !evidence.containsKey(f))
                                .thenComparing(f -> Rendezvous.weight(f.id(), seed)))
                .limit(MAX_REPORTED_FEATURES)
                .toList();
    }

    /**
     * Applies a report of any node; returns the pattern of the incriminated features of each
     * reported request.
     */
    Set<RequestPattern> apply(CrashReport report, long nowNanos) {
        for (RequestFeatures r : report.requests()) {
            for (RequestFeature f : r.all()) {
                evidence.computeIfAbsent(f, k -> new CrashEvidence())
                        .record(report.crash(), r.own(), nowNanos);
            }
        }
        Set<RequestPattern> patterns = new HashSet<>();
        for (RequestFeatures r : report.requests()) {
            List<RequestFeature> incriminated =
                    r.all().stream()
                            .filter(f -> isIncriminated(f, nowNanos))
                            .sorted(Comparator.comparing(f -> -crashCount(f, nowNanos)))
                            .limit(RequestPattern.MAX_FEATURES)
                            .sorted(Comparator.comparing(RequestFeature::toString))
                            .toList();
            if (!incriminated.isEmpty()) {
                patterns.add(new RequestPattern(incriminated));
            }
        }
        return patterns;
    }

    /** Returns whether a pattern may still be quarantined: none of its features is cleared. */
    boolean isIncriminated(RequestPattern pattern, long nowNanos) {
        return pattern.features().stream().allMatch(f -> isIncriminated(f, nowNanos));
    }

    /** Returns whether the evidence suffices to quarantine a feature. */
    boolean isIncriminated(RequestFeature feature, long nowNanos) {
        CrashEvidence e = evidence.get(feature);
        if (e == null || e.crashCount(nowNanos) < CRASH_THRESHOLD) {
            return false;
        }
        // All features of a single request have the same evidence; only the request itself, which
        // its own feature stands for, is then known to be the cause.
        Set<RequestFeature> requests = e.requests();
        return requests.size() > 1 || requests.contains(feature);
    }

    /** Returns the number of crashes that a feature is suspected of. */
    int crashCount(RequestFeature feature, long nowNanos) {
        CrashEvidence e = evidence.get(feature);
        return e == null ? 0 : e.crashCount(nowNanos);
    }

    /** Returns whether a feature of the request is suspected of a crash. */
    boolean isSuspect(RequestFeatures features, long nowNanos) {
        return !evidence.isEmpty()
                && features.all().stream()
                        .anyMatch(f -> !isProven(f, nowNanos) && crashCount(f, nowNanos) > 0);
    }

    /**
     * Records that an endpoint did not crash on a request whose answer began at {@code
     * answerNanos}; returns the clearances for all nodes.
     */
    List<FeatureClearance> recordAnswer(RequestFeatures features, long answerNanos, long nowNanos) {
        List<FeatureClearance> clearances = new ArrayList<>();
        for (RequestFeature f : features.all()) {
            provenAtNanos.put(f, nowNanos);
            CrashEvidence e = evidence.isEmpty() ? null : evidence.get(f);
            List<CrashId> cleared = e == null ? List.of() : e.clearBefore(answerNanos);
            if (!cleared.isEmpty()) {
                clearances.add(new FeatureClearance(f, cleared));
            }
        }
        return clearances;
    }

    /** Applies a clearance of another node. */
    void apply(FeatureClearance clearance, long nowNanos) {
        CrashEvidence e = evidence.computeIfAbsent(clearance.feature(), k -> new CrashEvidence());
        clearance.crashes().forEach(c -> e.clear(c, nowNanos));
    }

    /** Forgets the evidence against the features of a pattern. */
    void forget(RequestPattern pattern) {
        pattern.features().forEach(evidence::remove);
    }

    private boolean isProven(RequestFeature feature, long nowNanos) {
        Long at = provenAtNanos.get(feature);
        return at != null && nowNanos - at < PROVEN_NANOS;
    }
}
