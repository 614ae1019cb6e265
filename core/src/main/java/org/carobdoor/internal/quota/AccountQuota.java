package org.carobdoor.internal.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.deployment.QuotaLimit;
import org.carobdoor.internal.peers.StatusInterval;

/**
 * The quota of one client account as one node sees it: what all nodes together have granted in the
 * window that ends now must stay within the rate times the window plus the burst.
 *
 * <p>Each node takes its own grants at once and the other nodes' grants as they report them. What
 * the others grant between two reports is not known, so a node grants in that time only its part of
 * what is left: half of it as large as its part of the use so far, half of it equal for all nodes.
 * The parts of all nodes add up to the whole. A node of which three reports are missing counts as
 * using an equal share of what is left and of what comes free. A node that is cut off from all
 * others therefore grants only its own share, and so does the other side.
 *
 * <p>Load answered: one account sends several times its quota through all nodes at once, or through
 * nodes that cannot reach each other. Safe for use by several threads.
 */
public final class AccountQuota {
    /** A node of which this many reports are missing counts as cut off. */
    private static final int MISSING_REPORTS = 3;

    /** Share of what is left that is divided by use so far; the rest is divided equally. */
    private static final double DIVIDED_BY_USE = 0.5;

    /**
     * The share of the quota that counts as used when nothing is known. After a restart of all
     * nodes the accounts have used an unknown part of it.
     */
    private static final double USED_AT_START = 0.9;

    /**
     * Parts of the window in which use is told to a node that has started. Without them it would
     * take a burst of the last second for use of the whole window, and grant again what expires.
     */
    private static final int REPORTED_PARTS = 8;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final class Peer {
        double reported;
        double assumed;
        boolean silent;
        long heardAtNanos;

        Peer(double reported, long heardAtNanos) {
            this.reported = reported;
            this.heardAtNanos = heardAtNanos;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Peer> peers = new HashMap<>();
    private final UseWindow window;
    private final UseWindow own;
    private final RandomGenerator random;
    private final double windowSeconds;
    private final double tolerance;
    private QuotaLimit limit;
    private int nodes = 1;
    private double grantedHere;
    private boolean adopted;
    private long updatedAtNanos;
    private double rounding;
    private long roundedUntilNanos;

    private AccountQuota(
            QuotaLimit limit,
            double tolerance,
            long windowNanos,
            RandomGenerator random,
            long nowNanos) {
        this.limit = limit;
        this.tolerance = tolerance;
        this.random = random;
        this.window = new UseWindow(windowNanos, nowNanos);
        this.own = new UseWindow(windowNanos, nowNanos);
        this.roundedUntilNanos = nowNanos;
        this.windowSeconds = windowNanos / NANOS_PER_SECOND;
        this.updatedAtNanos = nowNanos;
        window.spread(allowed() * USED_AT_START);
    }

    /**
     * Returns a quota most of which counts as used.
     *
     * @param tolerance the share of the quota that may be used on top of it
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
     * Takes {@code units} if any are left; one request may overdraw the quota, so that a request
     * larger than what is left is not kept out by a stream of small ones.
     */
    public QuotaDecision tryTake(double units, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            double rest = allowed() - window.total();
            if (rest <= 0) {
                double excess = window.total() + units - allowed();
                long wait = window.nanosUntilExpired(Math.min(excess, window.total()));
                return new QuotaDecision.Exceeded(Math.max(1, wait / NANOS_PER_MILLI));
            }
            if (!isWithinPart(units, rest, nowNanos)) {
                return new QuotaDecision.Exceeded(reportNanos() / NANOS_PER_MILLI);
            }
            window.add(units);
            own.add(units);
            grantedHere += units;
            return new QuotaDecision.Granted();
        } finally {
            lock.unlock();
        }
    }

    /** Gives back the units of a request that was not run. */
    public void giveBack(double units) {
        lock.lock();
        try {
            window.add(-units);
            own.add(-units);
            grantedHere -= units;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the units granted by this node since its start, less those given back. */
    public double grantedHere() {
        lock.lock();
        try {
            return grantedHere;
        } finally {
            lock.unlock();
        }
    }

    /** Returns what is left of the quota now; negative after an overshoot. */
    public double available(long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            return allowed() - window.total();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the use of the window by equal parts, newest first, for a node that has started. */
    public List<Double> recent(long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            return window.parts(REPORTED_PARTS);
        } finally {
            lock.unlock();
        }
    }

    /** Changes the limit; it holds from now on for the whole window that ends now. */
    public void setLimit(QuotaLimit newLimit, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            limit = newLimit;
        } finally {
            lock.unlock();
        }
    }

    /** Sets the number of nodes that share the quota, this one included. */
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
     * @param granted what it has granted since its start
     * @param recent the use of the window as it sees it, see {@link #recent}; empty if not sent
     * @param peerKnows whether it has run for at least a window, so that it knows all use
     */
    public void report(
            String peer, double granted, List<Double> recent, boolean peerKnows, long nowNanos) {
        lock.lock();
        try {
            update(nowNanos);
            Peer known = peers.get(peer);
            if (known == null) {
                peers.put(peer, new Peer(granted, nowNanos));
            } else {
                window.add(granted - known.reported - known.assumed);
                known.reported = granted;
                known.assumed = 0;
                known.silent = false;
                known.heardAtNanos = nowNanos;
            }
            if (peerKnows && !adopted && !recent.isEmpty()) {
                // This node knows nothing of the use before its start; the other one does.
                adopted = true;
                window.setParts(recent);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Forgets a node that has left. */
    public void forget(String peer) {
        lock.lock();
        try {
            peers.remove(peer);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether this node's part of what is left covers the request. Parts below a request
     * are rounded up or down by chance, the same way for all requests until the next reports.
     */
    private boolean isWithinPart(double units, double rest, long nowNanos) {
        if (nodes == 1) {
            return true;
        }
        if (nowNanos >= roundedUntilNanos) {
            roundedUntilNanos = nowNanos + reportNanos();
            rounding = random.nextDouble();
        }
        double ofUse = Math.clamp(own.total() / Math.max(1, window.total()), 0, 1);
        double part = DIVIDED_BY_USE * ofUse + (1 - DIVIDED_BY_USE) / nodes;
        double granted = own.newest(reportNanos());
        return part * (rest + granted) - granted > rounding * units;
    }

    private long reportNanos() {
        return StatusInterval.nanos(nodes);
    }

    private double allowed() {
        return (limit.perSecond() * windowSeconds + limit.burst()) * (1 + tolerance);
    }

    private void update(long nowNanos) {
        double seconds = Math.max(0, nowNanos - updatedAtNanos) / NANOS_PER_SECOND;
        updatedAtNanos = Math.max(updatedAtNanos, nowNanos);
        adopted |= window.advance(nowNanos);
        own.advance(nowNanos);
        double share = allowed() / windowSeconds * seconds / nodes;
        long silence = MISSING_REPORTS * reportNanos();
        double shareOfRest = Math.max(0, allowed() - window.total()) / nodes;
        int heard = 0;
        for (Peer p : peers.values()) {
            if (nowNanos - p.heardAtNanos < silence) {
                heard++;
                continue;
            }
            p.assumed += share;
            if (!p.silent) {
                // It sees the same rest of the quota, and may grant its share of it at once.
                p.silent = true;
                p.assumed += shareOfRest;
                window.add(shareOfRest);
            }
        }
        window.addSpread(share * Math.max(0, nodes - 1 - heard), seconds * NANOS_PER_SECOND);
    }
}
