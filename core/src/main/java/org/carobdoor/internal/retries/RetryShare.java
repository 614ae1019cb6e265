package org.carobdoor.internal.retries;

import java.util.random.RandomGenerator;

/**
 * One node's share of the retries that all nodes may send to a service in any window of time: a
 * number for each request, and an equal part of a fixed allowance.
 *
 * <p>Half of the part is refilled over a window and half may be kept, so that a share never grants
 * more than its part beside what its requests earn, whenever the window begins. A new run of a node
 * starts with nothing, since the run before it may just have used the share.
 *
 * <p>What the requests of the last seconds have earned may be kept as well; each request earns less
 * for it, by the same proportion. In a large group, where a part is below one retry, this is most
 * of a share.
 *
 * <p>Load answered: endpoints fail most of what is sent to them, while nodes start, stop and learn
 * of each other late. Belongs to one thread.
 */
final class RetryShare {
    /** Share of the allowance that is given out; the rest covers views of the group that differ. */
    private static final double USED_ALLOWANCE = 0.8;

    /** Share of a node's part of the allowance that is kept for a burst of failures. */
    private static final double KEPT = 0.5;

    /** For how long what a request has earned may be kept, as a share of the window. */
    private static final double EARNED_KEPT = 0.2;

    private final RetryAllowance allowance;
    private final RandomGenerator random;
    private final double perRequest;
    private int nodes;
    private double part;
    private double balance;
    private double recentRequests;
    private long updatedAtNanos;

    /**
     * Creates the share of a run.
     *
     * @param startNanos when the run started: nothing was refilled before
     */
    RetryShare(RetryAllowance allowance, int nodes, RandomGenerator random, long startNanos) {
        this.allowance = allowance;
        this.random = random;
        this.perRequest = allowance.perRequest() / (1 + EARNED_KEPT);
        this.nodes = nodes;
        this.part = part(allowance, nodes);
        this.updatedAtNanos = startNanos;
    }

    /**
     * Sets the number of nodes that share the allowance, this one included. What has been refilled
     * in the belief that there were fewer nodes is taken back.
     */
    void setNodes(int count, long nowNanos) {
        update(nowNanos);
        balance *= Math.min(1, (double) nodes / count);
        nodes = count;
        part = part(allowance, count);
        balance = Math.min(balance, max());
    }

    /** Returns the part of the allowance that each of {@code nodes} nodes has in a window. */
    static double part(RetryAllowance allowance, int nodes) {
        return allowance.fixed() * USED_ALLOWANCE / nodes;
    }

    /** Counts a request. */
    void onRequest(long nowNanos) {
        update(nowNanos);
        recentRequests++;
        balance = Math.min(max(), balance + perRequest);
    }

    /** Takes a retry if there is one. */
    boolean tryTake(long nowNanos) {
        update(nowNanos);
        if (balance >= 1) {
            balance--;
            return true;
        }
        if (max() >= 1) {
            return false;
        }
        // A share this small never holds a whole retry: the parts of many nodes add up by chance.
        boolean taken = random.nextDouble() < balance;
        balance = 0;
        return taken;
    }

    private double max() {
        return part * KEPT + recentRequests * perRequest;
    }

    private void update(long nowNanos) {
        double windows = Math.max(0, nowNanos - updatedAtNanos) / (double) allowance.windowNanos();
        updatedAtNanos = Math.max(updatedAtNanos, nowNanos);
        recentRequests *= Math.exp(-windows / EARNED_KEPT);
        balance = Math.min(max(), balance + windows * part * (1 - KEPT));
    }
}
