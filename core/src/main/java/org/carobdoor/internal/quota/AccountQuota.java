package org.carobdoor.internal.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.deployment.QuotaLimit;
import org.carobdoor.internal.peers.StatusInterval;

/**
 * The quota of one client account as one node sees it. What all nodes together have granted in the
 * window that ends now must stay within the rate times the window plus the burst.
 *
 * <p>Each node counts its own grants at once and the grants of the other nodes when they report
 * them. Grants of the others between two reports are unknown, so a node grants in that time only
 * its part of the remaining quota: half of the remaining quota is divided in proportion to use so
 * far, half equally among the nodes. The parts of all nodes add up to the whole. A node of which
 * three reports are missing is assumed to use an equal share of the remaining quota and of the
 * quota that becomes free. A node that is partitioned from all others therefore grants only its own
 * share, and so do the nodes on the other side. In a large cluster the parts are smaller, and a
 * pool for each zone holds the rest, see {@link QuotaPool}.
 *
 * <p>The quota must hold when one account sends several times its quota through all nodes at once,
 * or through nodes that cannot reach each other. Safe for use by several threads.
 */
public final class AccountQuota {
    /** A node of which this many consecutive reports are missing is treated as unreachable. */
    private static final int MISSING_REPORTS = 3;

    /**
     * Fraction of the remaining quota that is divided in proportion to use; the rest is divided
     * equally.
     */
    private static final double USE_WEIGHT = 0.5;

    /**
     * Fraction of the quota that is assumed to be used at the start. After a restart of all nodes
     * the accounts have used an unknown part of it.
     */
    private static final double INITIAL_USED_FRACTION = 0.9;

    /**
     * Number of parts of the window in which use is reported to a node that has just started.
     * Without them, that node would take a burst in the last second for use spread over the whole
     * window, and grant quota again as it expires.
     */
    private static final int REPORTED_PARTS = 8;

    /**
     * Minimum time between two updates of the window. The reports of a large cluster arrive in
     * batches, and each update passes over all peers.
     */
    private static final long MIN_UPDATE_NANOS = 5_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final class Peer {
        double reported;
        double assumed;
        double assumedAtOnce;
        long silentAtNanos;
        boolean silent;
        long lastReportAtNanos;

        Peer(double reported, long lastReportAtNanos) {
            this.reported = reported;
            this.lastReportAtNanos = lastReportAtNanos;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Peer> peers = new HashMap<>();
    private final SlidingUseWindow totalUse;
    private final SlidingUseWindow ownUse;
    private final SlidingUseWindow lentUse;
    private final RandomGenerator random;
    private final double windowSeconds;
    private final double tolerance;
    private QuotaLimit limit;
    private QuotaPool pools = QuotaPool.NONE;
    private double zoneFraction;
    private int nodes = 1;
    private double grantedHere;
    private boolean knowsEarlierUse;
    private long updatedAtNanos;
    private double roundingThreshold;
    private long roundingEndsAtNanos;

    private AccountQuota(
            QuotaLimit limit,
            double tolerance,
            long windowNanos,
            RandomGenerator random,
            long nowNanos) {
        this.limit = limit;
        this.tolerance = tolerance;
        this.random = random;
        this.totalUse = new SlidingUseWindow(windowNanos, nowNanos);
        this.ownUse = new SlidingUseWindow(windowNanos, nowNanos);
        this.lentUse = new SlidingUseWindow(windowNanos, nowNanos);
        this.roundingEndsAtNanos = nowNanos;
        this.windowSeconds = windowNanos / NANOS_PER_SECOND;
        this.updatedAtNanos = nowNanos;
        totalUse.addOverWindow(allowed() * INITIAL_USED_FRACTION);
    }

    /**
     * Returns a quota most of which counts as used.
     *
     * @param tolerance the fraction of the quota that may be used in addition to it
     * @param windowNanos the length of the window over which use is counted
     * @param random rounds parts of the quota that are smaller than a request
     */
    public static AccountQuota create(
            QuotaLimit limit,
            double tolerance,
            long windowNanos,
            RandomGenerator random,
            long nowNanos) {
        return new AccountQuota(limit, tolerance, windowNanos, random, nowNanos);
    }

    /**
     * Takes {@code units} if any quota is left. One request may exceed the remaining quota, so that
     * a large request is not starved by a stream of small ones.
     */
    public QuotaDecision tryTake(double units, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            double remaining = allowed() - totalUse.total();
            if (remaining <= 0) {
                double excess = totalUse.total() + units - allowed();
                long wait = totalUse.nanosUntilExpired(Math.min(excess, totalUse.total()));
                return new QuotaDecision.Exceeded(Math.max(1, wait / NANOS_PER_MILLI));
            }
            if (!isWithinPart(units, remaining, nowNanos)) {
                return new QuotaDecision.PartExceeded(reportNanos() / NANOS_PER_MILLI);
            }
            totalUse.add(units);
            ownUse.add(units);
            grantedHere += units;
            return new QuotaDecision.Granted();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Grants a request of a node of this zone from the pool of the zone, and returns whether it was
     * granted. Its units count as granted by this node.
     */
    public boolean tryLend(double units, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            double remaining = allowed() - totalUse.total();
            double lent = lentUse.usedInLast(reportNanos());
            double pool = pools.fraction() * zoneFraction * (remaining + lent) - lent;
            if (remaining <= 0 || pool <= 0 || units > pool + pools.excess()) {
                return false;
            }
            totalUse.add(units);
            lentUse.add(units);
            grantedHere += units;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Records that a lender has granted a request of this node. */
    public void borrowed(double units, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            ownUse.add(units);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets the pools of the zones.
     *
     * @param newPools how much they hold
     * @param newZoneFraction the fraction of all nodes that are in the zone of this node
     */
    public void setPools(QuotaPool newPools, double newZoneFraction) {
        lock.lock();
        try {
            pools = newPools;
            zoneFraction = newZoneFraction;
        } finally {
            lock.unlock();
        }
    }

    /** Refunds the units of a request that was not run. */
    public void refund(double units) {
        lock.lock();
        try {
            totalUse.add(-units);
            ownUse.add(-units);
            grantedHere -= units;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the units granted by this node since its start, less those refunded. */
    public double grantedHere() {
        lock.lock();
        try {
            return grantedHere;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the remaining quota; negative after an overshoot. */
    public double available(long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            return allowed() - totalUse.total();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the use of the window in equal parts, newest first, for a node that has just started.
     */
    public List<Double> recent(long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            return totalUse.parts(REPORTED_PARTS);
        } finally {
            lock.unlock();
        }
    }

    /** Changes the limit. The new limit applies to the whole window that ends now. */
    public void setLimit(QuotaLimit newLimit, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            limit = newLimit;
        } finally {
            lock.unlock();
        }
    }

    /** Sets the number of nodes that share the quota, including this one. */
    public void setNodes(int count, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            nodes = Math.max(1, count);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies the report of another node.
     *
     * @param peer identifies one run of the other node
     * @param granted the units it has granted since its start
     * @param recent the use of the window as it sees it, see {@link #recent}; empty if not sent
     * @param peerKnows whether it has run for at least a window, so that it knows all use
     */
    public void applyNodeUse(
            String peer, double granted, List<Double> recent, boolean peerKnows, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            Peer known = peers.get(peer);
            if (known == null) {
                peers.put(peer, new Peer(granted, nowNanos));
            } else {
                removeAssumed(known, nowNanos);
                totalUse.add(granted - known.reported);
                known.reported = granted;
                known.lastReportAtNanos = nowNanos;
            }
            if (peerKnows && !knowsEarlierUse && !recent.isEmpty()) {
                // This node does not know the use before its start, but the other one does.
                knowsEarlierUse = true;
                totalUse.setParts(recent);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes the use that was assumed of a silent node where it was counted. If it was removed
     * from the present instead, it would still be missing there after the assumed use has expired,
     * and quota would be granted twice.
     */
    private void removeAssumed(Peer peer, long nowNanos) {
        if (!peer.silent) {
            return;
        }
        totalUse.addAgo(-peer.assumedAtOnce, nowNanos - peer.silentAtNanos);
        totalUse.addOverLast(-peer.assumed, nowNanos - peer.silentAtNanos);
        peer.assumed = 0;
        peer.assumedAtOnce = 0;
        peer.silent = false;
    }

    /** Records that another node has granted nothing since its last report. */
    public void applyNoUse(String peer, long nowNanos) {
        lock.lock();
        try {
            Peer known = peers.get(peer);
            if (known != null) {
                update(nowNanos);
                removeAssumed(known, nowNanos);
                known.lastReportAtNanos = nowNanos;
            }
        } finally {
            lock.unlock();
        }
    }

    /** Removes a node that has left. */
    public void removeNode(String peer) {
        lock.lock();
        try {
            peers.remove(peer);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether this node's part of the remaining quota covers the request. Parts that are
     * smaller than a request are rounded up or down at random; the same random number is used for
     * all requests until the next reports.
     */
    private boolean isWithinPart(double units, double remaining, long nowNanos) {
        if (nodes == 1) {
            return true;
        }
        if (nowNanos >= roundingEndsAtNanos) {
            roundingEndsAtNanos = nowNanos + reportNanos();
            roundingThreshold = random.nextDouble();
        }
        double useFraction = Math.clamp(ownUse.total() / Math.max(1, totalUse.total()), 0, 1);
        double part = USE_WEIGHT * useFraction + (1 - USE_WEIGHT) / nodes;
        part *= 1 - pools.fraction();
        double granted = ownUse.usedInLast(reportNanos());
        return part * (remaining + granted) - granted > roundingThreshold * units;
    }

    private long reportNanos() {
        return StatusInterval.nanos(nodes);
    }

    private double allowed() {
        return (limit.perSecond() * windowSeconds + limit.burst()) * (1 + tolerance);
    }

    private void update(long nowNanos) {
        if (nowNanos - updatedAtNanos < MIN_UPDATE_NANOS) {
            return;
        }
        double seconds = Math.max(0, nowNanos - updatedAtNanos) / NANOS_PER_SECOND;
        updatedAtNanos = Math.max(updatedAtNanos, nowNanos);
        knowsEarlierUse |= totalUse.advance(nowNanos);
        ownUse.advance(nowNanos);
        lentUse.advance(nowNanos);
        double share = allowed() / windowSeconds * seconds / nodes;
        long silentAfterNanos = MISSING_REPORTS * reportNanos();
        double shareOfRemaining = Math.max(0, allowed() - totalUse.total()) / nodes;
        int reporting = 0;
        for (Peer p : peers.values()) {
            if (nowNanos - p.lastReportAtNanos < silentAfterNanos) {
                reporting++;
                continue;
            }
            if (p.silent) {
                p.assumed += share;
            } else {
                // The silent node sees the same remaining quota, and may grant its share of it at
                // once.
                p.silent = true;
                p.silentAtNanos = nowNanos;
                p.assumedAtOnce = share + shareOfRemaining;
                totalUse.add(shareOfRemaining);
            }
        }
        totalUse.addOverLast(
                share * Math.max(0, nodes - 1 - reporting), seconds * NANOS_PER_SECOND);
    }
}
