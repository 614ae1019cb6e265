package org.carobdoor.internal.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.deployment.QuotaLimit;

/**
 * The quota of one client account as one node sees it: a token bucket from which the node takes its
 * own use at once and the other nodes' use as they report it.
 *
 * <p>Each node reports how much it has granted since its start. A report is late by its interval,
 * so during that time an account can use as much beyond its quota as it asks for. A node that has
 * not reported for {@link #SILENT_NANOS} counts as using an equal share of the rate. A node that is
 * cut off from all others therefore grants only its own share, and so does the other side.
 *
 * <p>Load answered: one account sends several times its quota through all nodes at once, or through
 * nodes that cannot reach each other. Safe for use by several threads.
 */
public final class AccountQuota {
    /** A node that sent no report for this long counts as cut off; reports come each 200 ms. */
    public static final long SILENT_NANOS = 1_000_000_000L;

    /**
     * The share of the burst that a new bucket holds. After a restart of all nodes the accounts
     * have already used their bursts, and a full bucket would grant them a second time.
     */
    private static final double INITIAL_SHARE_OF_BURST = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private static final class Peer {
        double reported;
        double assumed;
        long heardAtNanos;

        Peer(double reported, long heardAtNanos) {
            this.reported = reported;
            this.heardAtNanos = heardAtNanos;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Peer> peers = new HashMap<>();
    private QuotaLimit limit;
    private int nodes = 1;
    private double available;
    private double grantedHere;
    private final long createdAtNanos;
    private long filledAtNanos;

    private AccountQuota(QuotaLimit limit, long nowNanos) {
        this.limit = limit;
        this.available = limit.burst() * INITIAL_SHARE_OF_BURST;
        this.createdAtNanos = nowNanos;
        this.filledAtNanos = nowNanos;
    }

    /** Returns a quota whose bucket is partly filled. */
    public static AccountQuota create(QuotaLimit limit, long nowNanos) {
        return new AccountQuota(limit, nowNanos);
    }

    /**
     * Takes {@code units} if the bucket holds any; one request may overdraw it, so that a request
     * larger than what is left is not kept out by a stream of small ones.
     */
    public QuotaDecision tryTake(double units, long nowNanos) {
        lock.lock();
        try {
            refill(nowNanos);
            if (available <= 0) {
                double seconds = (units - available) / Math.max(limit.perSecond(), 1);
                return new QuotaDecision.Exceeded(
                        Math.max(1, Math.round(seconds * MILLIS_PER_SECOND)));
            }
            available -= units;
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
            available = Math.min(limit.burst(), available + units);
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

    /** Returns what the bucket holds now; negative after an overshoot. */
    public double available(long nowNanos) {
        lock.lock();
        try {
            refill(nowNanos);
            return available;
        } finally {
            lock.unlock();
        }
    }

    /** Changes the limit; what is available beyond a lower burst lapses at once. */
    public void setLimit(QuotaLimit newLimit, long nowNanos) {
        lock.lock();
        try {
            refill(nowNanos);
            limit = newLimit;
            available = Math.min(available, newLimit.burst());
        } finally {
            lock.unlock();
        }
    }

    /** Sets the number of nodes that share the quota, this one included. */
    public void setNodes(int count, long nowNanos) {
        lock.lock();
        try {
            refill(nowNanos);
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
     * @param peerAvailable what its own bucket holds
     */
    public void report(String peer, double granted, double peerAvailable, long nowNanos) {
        lock.lock();
        try {
            refill(nowNanos);
            Peer known = peers.get(peer);
            if (known == null) {
                peers.put(peer, new Peer(granted, nowNanos));
                // A node that has just started knows nothing of earlier use; the others do.
                if (nowNanos - createdAtNanos < SILENT_NANOS) {
                    available = Math.min(available, Math.max(peerAvailable, -limit.burst()));
                }
                return;
            }
            available -= granted - known.reported - known.assumed;
            available = Math.min(available, limit.burst());
            known.reported = granted;
            known.assumed = 0;
            known.heardAtNanos = nowNanos;
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

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledAtNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        filledAtNanos = nowNanos;
        double gain = seconds * limit.perSecond();
        double share = gain / nodes;
        int heard = 0;
        for (Peer p : peers.values()) {
            if (nowNanos - p.heardAtNanos < SILENT_NANOS) {
                heard++;
            } else {
                p.assumed += share;
            }
        }
        int silent = Math.max(0, nodes - 1 - heard);
        available = Math.min(limit.burst(), available + gain - silent * share);
    }
}
