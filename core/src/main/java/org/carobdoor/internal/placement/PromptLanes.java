package org.carobdoor.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import org.carobdoor.internal.capacity.ExpectedTimes;
import org.carobdoor.internal.request.Prompt;

/**
 * Divides the engines of a service between long prompts of lower rank and all other prompts.
 *
 * <p>This answers short urgent prompts that wait at an engine while it prefills long ones. The
 * unread tokens of an engine change faster than nodes hear of them, so the engines are divided by a
 * hash that all nodes know, in proportion to the prompt tokens of both kinds. The division is a
 * preference: an engine of the other lane is used if it is faster by more than the wait that it
 * costs. Without long prompts of a lower rank than others, all engines are in one lane.
 *
 * <p>Not thread-safe.
 */
public final class PromptLanes {
    private static final double HALF_LIFE_NANOS = 10e9;

    /** A prompt is long if its prefill takes this time, which others notice. */
    private static final double LONG_PREFILL_MILLIS = 80;

    /** Each kind of prompt needs this share of the tokens for the engines to be divided. */
    private static final double MIN_SHARE = 0.1;

    private static final int MIN_ENGINES = 4;

    /** The position of an engine in the division is its weight for this key. */
    private static final long DIVISION_KEY = 0x6c616e6573L;

    private final double[] tokensByRank = new double[Ranks.COUNT];
    private double longTokens;
    private double longCount;
    private double allTokens;
    private long decayedNanos;

    /** The ranks that requests may have. */
    private static final class Ranks {
        private static final int COUNT = 10;

        static int clamp(int rank) {
            return Math.clamp(rank, 0, COUNT - 1);
        }
    }

    /** The engines that a prompt prefers. */
    static final class Lane {
        private final Collection<EndpointLoad> engines;
        private final boolean divided;
        private final boolean forLong;
        private final long boundary;
        private final double penaltyMillis;

        private Lane(
                Collection<EndpointLoad> engines,
                boolean divided,
                boolean forLong,
                long boundary,
                double penaltyMillis) {
            this.engines = engines;
            this.divided = divided;
            this.forLong = forLong;
            this.boundary = boundary;
            this.penaltyMillis = penaltyMillis;
        }

        Collection<EndpointLoad> engines() {
            return engines;
        }

        boolean contains(EndpointLoad engine) {
            return !divided || isForLong(engine, boundary) == forLong;
        }

        /** Returns what the request, or the requests behind it, lose at an engine outside. */
        double penaltyMillis() {
            return penaltyMillis;
        }
    }

    private PromptLanes(long nowNanos) {
        decayedNanos = nowNanos;
    }

    /** Returns lanes that have seen no prompts, which do not divide the engines. */
    public static PromptLanes create(long nowNanos) {
        return new PromptLanes(nowNanos);
    }

    /**
     * Records a prompt, on which the division depends.
     *
     * @param rank its rank, 0 is the highest
     */
    public void record(Prompt prompt, int rank, long nowNanos) {
        decay(nowNanos);
        double tokens = Math.max(0, prompt.promptTokens());
        allTokens += tokens;
        tokensByRank[Ranks.clamp(rank)] += tokens;
        if (isLong(prompt) && hasHigherRank(rank)) {
            longTokens += tokens;
            longCount++;
        }
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - decayedNanos;
        if (elapsed <= 0) {
            return;
        }
        double kept = Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
        for (int r = 0; r < Ranks.COUNT; r++) {
            tokensByRank[r] *= kept;
        }
        longTokens *= kept;
        longCount *= kept;
        allTokens *= kept;
        decayedNanos = nowNanos;
    }

    private static boolean isLong(Prompt prompt) {
        return ExpectedTimes.engineMillis(prompt.promptTokens()) >= LONG_PREFILL_MILLIS;
    }

    private boolean hasHigherRank(int rank) {
        double higher = 0;
        for (int r = 0; r < Ranks.clamp(rank); r++) {
            higher += tokensByRank[r];
        }
        return higher > allTokens * MIN_SHARE;
    }

    /** Returns the share of the engines that long prompts of lower rank prefer; 0 if none. */
    double longShare() {
        double share = allTokens > 0 ? longTokens / allTokens : 0;
        return share < MIN_SHARE ? 0 : Math.min(share, 1 - MIN_SHARE);
    }

    /** Returns the lane of a prompt among {@code engines}. */
    Lane laneOf(Prompt prompt, int rank, Collection<EndpointLoad> engines) {
        double share = longShare();
        if (share <= 0 || engines.size() < MIN_ENGINES) {
            return new Lane(engines, false, false, 0, 0);
        }
        long[] positions = new long[engines.size()];
        int n = 0;
        for (EndpointLoad e : engines) {
            positions[n++] = position(e);
        }
        long[] unsorted = positions.clone();
        Arrays.sort(positions);
        int count = (int) Math.clamp(Math.round(share * n), 1, n - 1);
        long boundary = positions[count];
        boolean forLong = isLong(prompt) && hasHigherRank(rank);
        List<EndpointLoad> inLane = new ArrayList<>();
        int i = 0;
        for (EndpointLoad e : engines) {
            if (unsorted[i++] < boundary == forLong) {
                inLane.add(e);
            }
        }
        double meanLongTokens = longCount > 0 ? longTokens / longCount : 0;
        // A long prompt would delay the others by its own time, and others wait for half of one.
        double penaltyMillis =
                forLong
                        ? ExpectedTimes.engineMillis(prompt.promptTokens())
                        : ExpectedTimes.engineMillis(meanLongTokens) / 2;
        return new Lane(inLane, true, forLong, boundary, penaltyMillis);
    }

    private static long position(EndpointLoad engine) {
        return engine.weightFor(DIVISION_KEY);
    }

    private static boolean isForLong(EndpointLoad engine, long boundary) {
        return position(engine) < boundary;
    }
}
