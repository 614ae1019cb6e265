package org.carobdoor.internal.quota;

/**
 * How the quota that is left between two reports is divided among the nodes.
 *
 * <p>With many nodes, the part of one node is smaller than a large request, and most parts lie idle
 * while a few nodes refuse. A pool therefore holds a fraction of the quota back for each
 * availability zone. One node of the zone, the lender, grants whole requests from it to the others
 * and to itself.
 *
 * @param fraction the fraction of the remaining quota that is held in the pools of all zones
 * @param excess the units by which one pool may be overdrawn by a single request
 */
public record QuotaPool(double fraction, double excess) {
    /** Without a pool, the nodes share all that is left. */
    public static final QuotaPool NONE = new QuotaPool(0, 0);
}
