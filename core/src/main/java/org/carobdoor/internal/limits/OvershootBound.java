package org.carobdoor.internal.limits;

import org.carobdoor.internal.Preconditions;

/**
 * An upper bound of what all nodes together can use of a limit in one window.
 *
 * <p>With one home node at a time, the grants add up to at most the limit. Two nodes that both act
 * as the home grant up to the limit each, so a network partition multiplies it by the number of
 * parts that contain a home. A node that gets no answer from a home uses at most the limit x 0.5 /
 * its last known number of live nodes. In total:
 *
 * <pre>limit x homes + 0.5 x limit x nodes / fewest known live nodes</pre>
 *
 * <p>With one home and exact membership that is 1.5 x the limit, and exactly the limit in windows
 * in which every node that asks the home gets an answer. Clock skew of a fraction of a window
 * shifts that fraction of the use between neighbouring windows. Tokens and spend are known only
 * when an answer ends, and add at most what the requests in flight still use. For limits on
 * requests in flight, the bound excludes requests that keep running at nodes whose slots expired
 * while they could not reach the home.
 */
public final class OvershootBound {
    /** Fraction of a limit that all nodes together may use without a home. */
    static final double FALLBACK_FRACTION = 0.5;

    private OvershootBound() {}

    /**
     * Returns the bound of the use in one window.
     *
     * @param homes how many nodes acted as the home in the window
     * @param nodes how many nodes used the limit
     * @param fewestKnownLive the smallest number of live nodes that any of them knew
     */
    public static double perWindow(long limit, int homes, int nodes, int fewestKnownLive) {
        Preconditions.checkArgument(
                fewestKnownLive > 0, "the number of known live nodes must be positive");
        return (double) limit * homes + FALLBACK_FRACTION * limit * nodes / fewestKnownLive;
    }

    /** Returns the part of an allowance for all nodes that one node may use without a home. */
    static long fallbackShare(long allowance, int knownLive) {
        return (long) Math.floor(FALLBACK_FRACTION * allowance / Math.max(1, knownLive));
    }
}
