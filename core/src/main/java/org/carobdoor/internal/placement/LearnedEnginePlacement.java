package org.carobdoor.internal.placement;

import java.util.Collection;
import org.carobdoor.internal.capacity.ExpectedTimes;
import org.carobdoor.internal.request.Prompt;

/**
 * Chooses the model engine of a prompt by learned capacity.
 *
 * <p>As with {@link EnginePlacement}, the homes of a shared prompt part get its requests until
 * their queue costs more than prefilling the part elsewhere. Elsewhere is not the engine that looks
 * best to all nodes, but the better of two drawn at random. This policy is designed for large
 * clusters, whose nodes know little of each other's present load.
 */
public final class LearnedEnginePlacement {
    /** Penalty for an engine without free memory, where the request waits or is preempted. */
    private static final double FULL_PENALTY_MILLIS = 1_500;

    /** Penalty for an engine that is silent with work outstanding and may be dead. */
    private static final double SUSPECT_PENALTY_MILLIS = 4_000;

    /** Share of the KV cache that running requests may occupy. */
    private static final double MAX_MEMORY_SHARE = 0.85;

    /** Share of the weight of an engine that is in the other lane or warms up. */
    private static final double UNPREFERRED_WEIGHT = 0.1;

    /** How long a request usually runs. */
    private static final double ANSWER_MILLIS = 1_000;

    private static final double DELAY_PER_RUNNING_MILLIS = 1.5;
    private static final long MIN_RETRY_AFTER_MILLIS = 200;

    private LearnedEnginePlacement() {}

    /**
     * Chooses among {@code engines}, the engines of the service that accept new requests.
     *
     * @param slots number of requests that one engine runs concurrently
     * @param memoryTokens capacity of the KV cache of one engine, in tokens
     * @param lanes the engines that are kept free of long prompts
     * @param rank the rank of the request, 0 is the highest
     * @param maxExpectedMillis maximum acceptable time to the first token
     */
    public static Placement choose(
            Collection<EndpointLoad> engines,
            Prompt prompt,
            int slots,
            long memoryTokens,
            PromptLanes lanes,
            int rank,
            DecisionView view,
            double maxExpectedMillis) {
        PromptLanes.Lane lane = lanes.laneOf(prompt, rank, engines);
        HomeEngines homes = HomeEngines.of(lane.engines(), prompt);
        EstimatedLoad estimate = new EstimatedLoad(engines, view.newsAgeMillis(), ANSWER_MILLIS);
        int[] newTokensOf = new int[engines.size()];
        int index = 0;
        for (EndpointLoad e : engines) {
            newTokensOf[index++] = homes.unreadTokens(e, prompt);
        }
        int cached = indexOfFewest(newTokensOf);
        index = 0;
        RandomizedSelector selector = new RandomizedSelector(view);
        for (EndpointLoad e : engines) {
            int newTokens = newTokensOf[index];
            boolean inLane = lane.contains(e);
            double warmUpMillis = e.remainingWarmUpMillis(view.nowNanos());
            double running = estimate.running(e);
            double load = (running + 1) / Math.max(1, slots);
            double tokens = estimate.unreadTokens(e, unreadMillis(e)) + newTokens;
            double millis = ExpectedTimes.engineMillis(tokens) * e.capacity().timeFactor(load);
            millis += running * DELAY_PER_RUNNING_MILLIS;
            millis += warmUpMillis;
            millis += view.roundTripMillis().applyAsDouble(e.entry().zone());
            long held = e.heldTokens() + prompt.totalTokens();
            boolean full = running >= slots || held > memoryTokens * MAX_MEMORY_SHARE;
            boolean suspect = e.isSuspect(view.nowNanos());
            millis += full ? FULL_PENALTY_MILLIS : 0;
            millis += suspect ? SUSPECT_PENALTY_MILLIS : 0;
            millis += inLane ? 0 : lane.penaltyMillis();
            boolean preferred = inLane && warmUpMillis <= 0;
            double weight = RandomizedSelector.drawWeight(e);
            boolean room = !full && !suspect && running < e.capacity().limit();
            selector.add(
                    new RandomizedSelector.Candidate(
                            e,
                            millis,
                            newTokens,
                            preferred ? weight : weight * UNPREFERRED_WEIGHT,
                            room,
                            homes.contains(e) || index == cached,
                            e.totalRunning() == 0));
            index++;
        }
        return selector.result(maxExpectedMillis, MIN_RETRY_AFTER_MILLIS);
    }

    /** Returns how long the engine takes to read the tokens that other nodes have sent it. */
    private static double unreadMillis(EndpointLoad e) {
        long remote = Math.max(0, e.totalUnreadTokens() - e.unreadTokens());
        return ExpectedTimes.engineMillis(remote) * Math.max(1, e.capacity().unloadedFactor());
    }

    /** Returns the index of the engine that has the most of the prompt cached. */
    private static int indexOfFewest(int[] newTokens) {
        int best = 0;
        for (int i = 1; i < newTokens.length; i++) {
            if (newTokens[i] < newTokens[best]) {
                best = i;
            }
        }
        return best;
    }
}
