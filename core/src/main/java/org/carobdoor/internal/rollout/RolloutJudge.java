package org.carobdoor.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.message.VersionEvidence;

/**
 * Judges the new version of a service by the answers that all nodes have reported: against those of
 * the old versions at the same time, on each route and on all together. A version that is bad on
 * one route only, from the start or later, is found; load that slows both versions is not held
 * against the new one.
 *
 * <p>Every node judges for itself, so that a bad version gets no more requests of a node even if no
 * duty holder has stored the verdict yet. Not thread-safe.
 */
public final class RolloutJudge {
    /** Answers of the new version without which it is not called good. */
    private static final long MIN_ANSWERS = 40;

    private static final long MIN_ROUTE_ANSWERS = 10;

    /** Routes with fewer of the old version's answers need no answers of their own. */
    private static final double MIN_ROUTE_FRACTION = 0.1;

    private record Key(String version, String route) {}

    private record Source(String run, Key key) {}

    private final String service;
    private final String newVersion;
    private final Set<String> oldVersions = new HashSet<>();
    private final Map<Source, VersionEvidence> last = new HashMap<>();
    private final Map<String, RouteEvidence> routes = new HashMap<>();
    private final RouteEvidence all = new RouteEvidence();
    private AnswerCounts counts = AnswerCounts.NONE;
    private Optional<String> bad = Optional.empty();

    private RolloutJudge(String service, String newVersion) {
        this.service = service;
        this.newVersion = newVersion;
    }

    /** Returns a judge without evidence. */
    public static RolloutJudge create(String service, String newVersion) {
        return new RolloutJudge(service, newVersion);
    }

    /** Returns a judge of the same version that counts only the answers from now on. */
    public RolloutJudge restarted() {
        RolloutJudge next = new RolloutJudge(service, newVersion);
        next.last.putAll(last);
        return next;
    }

    /** Returns the version that is judged. */
    public String newVersion() {
        return newVersion;
    }

    /** Sets the versions to compare with; all others but the new one if there are none. */
    public void setOldVersions(List<String> versions) {
        oldVersions.clear();
        oldVersions.addAll(versions);
    }

    /**
     * Adds what a node has received since its previous report.
     *
     * @param run identifies the process of the node
     * @param totals its totals; those that have not changed may be missing
     */
    public void report(String run, List<VersionEvidence> totals) {
        for (VersionEvidence e : totals) {
            if (e.service().equals(service)) {
                addSinceLast(run, e);
            }
        }
    }

    private void addSinceLast(String run, VersionEvidence e) {
        VersionEvidence before = last.get(new Source(run, new Key(e.version(), e.route())));
        if (before != null && e.answers() + e.failures() < before.answers() + before.failures()) {
            // A status that was overtaken by a later one.
            return;
        }
        last.put(new Source(run, new Key(e.version(), e.route())), e);
        boolean isNew = e.version().equals(newVersion);
        if (before == null && !isNew) {
            // Includes answers of long ago, which say nothing of the present load.
            return;
        }
        if (!isNew && !oldVersions.isEmpty() && !oldVersions.contains(e.version())) {
            return;
        }
        add(
                e.route(),
                isNew,
                e.answers() - (before == null ? 0 : before.answers()),
                e.failures() - (before == null ? 0 : before.failures()),
                before == null
                        ? e.latencyCounts()
                        : difference(e.latencyCounts(), before.latencyCounts()));
    }

    private void add(
            String route, boolean isNew, long answers, long failures, List<Long> latencies) {
        RouteEvidence r = routes.computeIfAbsent(route, n -> new RouteEvidence());
        boolean counted = !route.endsWith(VersionCounts.WHOLE_SUFFIX);
        if (isNew) {
            r.addNew(answers, failures, latencies);
        } else {
            r.addOld(answers, failures, latencies);
        }
        if (!counted) {
            return;
        }
        // Times of different routes cannot be compared.
        if (isNew) {
            all.addNew(answers, failures, List.of());
            counts =
                    new AnswerCounts(
                            counts.newAnswers() + answers,
                            counts.newFailures() + failures,
                            counts.oldAnswers(),
                            counts.oldFailures());
        } else {
            all.addOld(answers, failures, List.of());
            counts =
                    new AnswerCounts(
                            counts.newAnswers(),
                            counts.newFailures(),
                            counts.oldAnswers() + answers,
                            counts.oldFailures() + failures);
        }
    }

    private static List<Long> difference(List<Long> now, List<Long> before) {
        List<Long> result = new ArrayList<>();
        for (int i = 0; i < now.size(); i++) {
            result.add(Math.max(0, now.get(i) - (i < before.size() ? before.get(i) : 0)));
        }
        return result;
    }

    /** Returns why the new version is bad, if it is. Once it is bad, it remains so. */
    public Optional<String> judge() {
        if (bad.isEmpty()) {
            for (Map.Entry<String, RouteEvidence> e : routes.entrySet()) {
                Optional<String> onRoute = e.getValue().judge(e.getKey(), all);
                bad = bad.isPresent() ? bad : onRoute;
            }
            Optional<String> onAll = all.judge("all routes", all);
            bad = bad.isPresent() ? bad : onAll;
        }
        return bad;
    }

    /** Returns whether there is enough evidence to call the new version good. */
    public boolean isGood() {
        if (bad.isPresent() || !all.isGood(MIN_ANSWERS)) {
            return false;
        }
        for (Map.Entry<String, RouteEvidence> e : routes.entrySet()) {
            boolean common =
                    !e.getKey().endsWith(VersionCounts.WHOLE_SUFFIX)
                            && e.getValue().totalOldAnswers()
                                    >= MIN_ROUTE_FRACTION * counts.oldAnswers();
            if (!e.getValue().isGood(common ? MIN_ROUTE_ANSWERS : 0)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of answers so far. */
    public AnswerCounts counts() {
        return counts;
    }
}
