package org.carobdoor.internal.limits;

import org.carobdoor.internal.Preconditions;

/**
 * The bound of what all nodes together can use of a limit in one window.
 *
 * <p>With one home node at a time, grants sum to the limit at most. Two nodes that both believe to
 * be the home grant up to the limit each, so a cut into parts multiplies it by the number of parts
 * in which a home exists. A node that gets no answer from a home uses the limit x 0.5 / its last
 * known number of live nodes. In all:
 *
 * <pre>limit x homes + 0.5 x limit x nodes / fewest known live nodes</pre>
 *
 * <p>With one home and exact membership that is 1.5 x the limit, and the limit itself in windows in
 * which every node that asks the home gets its answer. Clocks that differ by a part of a window
 * shift use between neighbouring windows by that part. Tokens and spend are known only when an
 * answer ends, and come on top: at most what the requests in flight still use. For requests in
 * flight, those come on top that ran at nodes whose slots lapsed while they were cut off from the
 * home.
 */
public final class OvershootBound {
    /** The part of a limit that all nodes together may use without a home. */
    static final double FALLBACK_PART = 0.5;

    private OvershootBound() {}

    /**
     * Returns the bound of the use in one window.
     *
     * @param homes how many nodes believed to be the home in parallel in the window
     * @param nodes how many nodes used the limit
     * @param fewestKnownLive the smallest number of live nodes that any of them knew
     */
    public static double perWindow(long limit, int homes, int nodes, int fewestKnownLive) {
        Preconditions.checkArgument(fewestKnownLive > 0, "a node knows itself at least");
        return (double) limit * homes + FALLBACK_PART * limit * nodes / fewestKnownLive;
    }

    /** Returns what one node may use without a home, of an allowance for all nodes. */
    static long fallbackShare(long allowance, int knownLive) {
        return (long) Math.floor(FALLBACK_PART * allowance / Math.max(1, knownLive));
    }
}
