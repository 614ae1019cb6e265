package org.carobdoor.internal.retries;

import java.util.random.RandomGenerator;

/**
 * One node's share of the retries that all nodes may send to a service in any window of time: a
 * number per request, and an equal part of a fixed allowance.
 *
 * <p>Half of the fixed part is refilled over a window and half may be saved, so that in any window
 * a share grants at most the fixed part plus what its requests earn. A restarted node starts with
 * an empty share, since its previous run may just have used it.
 *
 * <p>What the requests of the last seconds have earned may be saved as well; each request earns
 * proportionally less in return. In a large cluster, where the fixed part is below one retry per
 * node, earned retries are most of a share.
 *
 * <p>The limit must hold while endpoints fail most requests and nodes start, stop and learn of each
 * other late. Not thread-safe; confined to one thread.
 */
final class RetryShare {
    /**
     * Fraction of the fixed allowance that is distributed; the rest covers nodes whose views of the
     * cluster differ.
     */
    private static final double DISTRIBUTED_FRACTION = 0.8;

    /** Fraction of a node's fixed part that can be saved for a burst of failures. */
    private static final double MAX_SAVED_FRACTION = 0.5;

    /** Time constant, in windows, with which the retries earned by a request expire. */
    private static final double EARNED_RETENTION_WINDOWS = 0.2;

    /** A pause in time constants below which nothing expires, which avoids a division by zero. */
    private static final double MIN_PAUSE_CONSTANTS = 1e-3;

    private final RetryAllowance allowance;
    private final RandomGenerator random;
    private final double perRequest;
    private int nodes;
    private double fixedPart;
    private double balance;
    private double recentRequests;
    private long updatedAtNanos;

    /**
     * Creates an empty share.
     *
     * @param nodes the number of nodes that share the allowance; 0 while it is unknown
     * @param startNanos since when it is known; nothing is refilled for the time before
     */
    RetryShare(RetryAllowance allowance, int nodes, RandomGenerator random, long startNanos) {
        this.allowance = allowance;
        this.random = random;
        this.perRequest = allowance.perRequest() / (1 + EARNED_RETENTION_WINDOWS);
        this.nodes = nodes;
        this.fixedPart = nodes == 0 ? 0 : fixedPart(allowance, nodes);
        this.updatedAtNanos = startNanos;
    }

    /**
     * Sets the number of nodes that share the allowance, including this one. If the number grows,
     * the balance is scaled down, since it was refilled for a larger part.
     */
    void setNodes(int count, long nowNanos) {
        update(nowNanos);
        if (nodes > 0) {
            balance *= Math.min(1, (double) nodes / count);
        }
        nodes = count;
        fixedPart = fixedPart(allowance, count);
        balance = Math.min(balance, maxBalance());
    }

    /**
     * Returns the part of the fixed allowance that each of {@code nodes} nodes may use in a window.
     */
    static double fixedPart(RetryAllowance allowance, int nodes) {
        return allowance.fixed() * DISTRIBUTED_FRACTION / nodes;
    }

    /**
     * Counts a request.
     *
     * @param pauseNanos how long this node had stood still when it read the request, which may have
     *     been sent at any time since; what it earned then has expired in part
     */
    void onRequest(long nowNanos, long pauseNanos) {
        update(nowNanos);
        double unexpired = unexpiredFraction(pauseNanos);
        recentRequests += unexpired;
        balance = Math.min(maxBalance(), balance + unexpired * perRequest);
    }

    /** Returns the mean fraction of what is left of what was earned during a pause. */
    private double unexpiredFraction(long pauseNanos) {
        double constants = pauseNanos / (double) allowance.windowNanos() / EARNED_RETENTION_WINDOWS;
        return constants < MIN_PAUSE_CONSTANTS ? 1 : (1 - Math.exp(-constants)) / constants;
    }

    /** Takes a retry from the balance and returns true, or returns false if none is left. */
    boolean tryTake(long nowNanos) {
        update(nowNanos);
        if (balance >= 1) {
            balance--;
            return true;
        }
        if (maxBalance() >= 1) {
            return false;
        }
        // A share this small never accumulates a whole retry. Granting one with a probability equal
        // to the balance keeps the expected total over all nodes.
        boolean taken = random.nextDouble() < balance;
        balance = 0;
        return taken;
    }

    /** Returns the number of retries that may be taken now. */
    double balance(long nowNanos) {
        update(nowNanos);
        return balance;
    }

    private double maxBalance() {
        return fixedPart * MAX_SAVED_FRACTION + recentRequests * perRequest;
    }

    private void update(long nowNanos) {
        double windows = Math.max(0, nowNanos - updatedAtNanos) / (double) allowance.windowNanos();
        updatedAtNanos = Math.max(updatedAtNanos, nowNanos);
        recentRequests *= Math.exp(-windows / EARNED_RETENTION_WINDOWS);
        balance = Math.min(maxBalance(), balance + windows * fixedPart * (1 - MAX_SAVED_FRACTION));
    }
}
