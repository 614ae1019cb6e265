package org.carobdoor.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects the faster of two candidates drawn at random with weights, or a preferred candidate if it
 * is faster than both.
 *
 * <p>This answers large clusters, whose nodes know the load of the others with a delay: if each
 * chose the fastest of all, they would all choose the same one until the next news. For the same
 * reason, candidates without room are drawn less often instead of never. The fastest of all is
 * taken only if those drawn would not be in time.
 *
 * <p>Source: Mitzenmacher, "How useful is old information?", 2000.
 */
final class RandomizedSelector {
    /** Share of the weight of an endpoint that has no room, as far as this node knows. */
    private static final double NO_ROOM_WEIGHT = 0.3;

    /** A slower endpoint whose evidence is older than this may have recovered. */
    private static final long TRIAL_AGE_MILLIS = 1_000;

    private static final double MIN_TRIAL_SLOWDOWN = 1.4;

    /** Decisions of one node in the time after which a slow endpoint is tried again. */
    private static final double TRIAL_DECISIONS_PER_NODE = 4;

    /**
     * A candidate.
     *
     * @param millis its expected time
     * @param unreadTokens the prompt tokens that it is expected to prefill
     * @param weight its weight in the draw
     * @param room whether it has room for the request
     * @param preferred whether it is compared with those drawn
     * @param idle whether no request is known to run there
     */
    record Candidate(
            EndpointLoad endpoint,
            double millis,
            int unreadTokens,
            double weight,
            boolean room,
            boolean preferred,
            boolean idle) {}

    private final DecisionView view;
    private final List<Candidate> candidates = new ArrayList<>();
    private final List<Candidate> withRoom = new ArrayList<>();
    private boolean hasFullEndpoint;

    RandomizedSelector(DecisionView view) {
        this.view = view;
    }

    /** Adds a candidate, which is skipped if this node has no connection left. */
    void add(Candidate c) {
        if (c.endpoint.isFull()) {
            hasFullEndpoint = true;
            return;
        }
        candidates.add(c);
        if (c.room) {
            withRoom.add(c);
        }
    }

    /**
     * Returns the usual weight of an endpoint: what it serves per time. A limit below its slots
     * counts half, because the candidate also loses weight while its load is above the limit.
     */
    static double drawWeight(EndpointLoad e) {
        int slots = Math.max(1, e.entry().slots());
        return (e.capacity().limit() + slots) / 2.0 / e.capacity().unloadedFactor();
    }

    /** Returns the selected candidate, or a refusal if none would be in time. */
    Placement result(double maxExpectedMillis, long minRetryAfterMillis) {
        if (candidates.isEmpty()) {
            return hasFullEndpoint
                    ? new Placement.Saturated(minRetryAfterMillis)
                    : new Placement.NoEndpoint();
        }
        Candidate best = trial();
        if (best == null) {
            best = fastestOfDrawn(candidates);
        }
        if (best.millis > maxExpectedMillis) {
            best = fastest(candidates);
        }
        if (best.millis > maxExpectedMillis) {
            long excessMillis = Math.round(best.millis - maxExpectedMillis);
            return new Placement.Saturated(Math.max(minRetryAfterMillis, excessMillis));
        }
        return new Placement.Chosen(best.endpoint, best.millis, best.unreadTokens);
    }

    /**
     * Rarely returns an endpoint that was slow and has no work, so that its recovery is noticed.
     * All nodes together try one with about one request at a time.
     */
    private @Nullable Candidate trial() {
        if (view.random().nextDouble() * TRIAL_DECISIONS_PER_NODE * view.nodes() >= 1) {
            return null;
        }
        for (Candidate c : withRoom) {
            if (c.idle
                    && c.endpoint.capacity().slowdown() > MIN_TRIAL_SLOWDOWN
                    && c.endpoint.capacity().ageMillis() > TRIAL_AGE_MILLIS) {
                return c;
            }
        }
        return null;
    }

    private Candidate fastestOfDrawn(List<Candidate> from) {
        double total = 0;
        for (Candidate c : from) {
            total += weight(c);
        }
        Candidate best = draw(from, null, total, view.random());
        if (from.size() > 1) {
            best = fasterByChance(best, draw(from, best, total, view.random()));
        }
        for (Candidate c : from) {
            if (c.preferred && c.millis < best.millis) {
                best = c;
            }
        }
        return best;
    }

    /**
     * Returns one of two candidates, the more likely the faster it is. If the faster one were
     * always chosen, the fastest of many would get twice its share from all nodes, however small
     * its advantage is.
     */
    private Candidate fasterByChance(Candidate a, Candidate b) {
        double ratio = Math.max(a.millis, 0.1) / Math.max(b.millis, 0.1);
        return view.random().nextDouble() * (1 + ratio) < 1 ? a : b;
    }

    /** Draws by weight, without {@code excluded}. */
    private static Candidate draw(
            List<Candidate> from,
            @Nullable Candidate excluded,
            double total,
            RandomGenerator random) {
        double remaining =
                random.nextDouble() * (total - (excluded == null ? 0 : weight(excluded)));
        Candidate last = from.getFirst();
        for (Candidate c : from) {
            if (c != excluded) {
                last = c;
                remaining -= weight(c);
                if (remaining < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private static double weight(Candidate c) {
        return c.room ? c.weight : c.weight * NO_ROOM_WEIGHT;
    }

    private static Candidate fastest(List<Candidate> from) {
        Candidate best = from.getFirst();
        for (Candidate c : from) {
            if (c.millis < best.millis) {
                best = c;
            }
        }
        return best;
    }
}
