package org.carobdoor.internal.retries;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;

/**
 * The retry budgets of a node by service, each this node's share of what all nodes may send
 * together. A change of the number of nodes changes what a share may hold, never what was used.
 *
 * <pre>{@code
 * budgets.setNodes(peers.nodeCount(), now);
 * budgets.onRequest(service, now);
 * if (budgets.tryTake(service, now)) { ... }
 * }</pre>
 *
 * <p>All times are of a steady clock, in nanoseconds. Belongs to one thread.
 */
public final class RetryBudgets {
    private final Map<String, RetryShare> shares = new TreeMap<>();
    private final Map<String, Long> granted = new TreeMap<>();
    private final Map<String, Long> denied = new TreeMap<>();
    private final RetryAllowance allowance;
    private final RandomGenerator random;
    private final long startNanos;
    private int nodes = 1;

    private RetryBudgets(RetryAllowance allowance, RandomGenerator random, long nowNanos) {
        this.allowance = allowance;
        this.random = random;
        this.startNanos = nowNanos;
    }

    /** Returns the budgets of a node that has just started and knows no other node. */
    public static RetryBudgets create(
            RetryAllowance allowance, RandomGenerator random, long nowNanos) {
        return new RetryBudgets(allowance, random, nowNanos);
    }

    /** Sets the number of nodes that share the budgets, this one included. */
    public void setNodes(int count, long nowNanos) {
        nodes = Math.max(1, count);
        shares.values().forEach(s -> s.setNodes(nodes, nowNanos));
    }

    /** Returns the retries that this node may send in a window whatever its requests. */
    public double fixedPart() {
        return RetryShare.part(allowance, nodes);
    }

    /** Counts a request to {@code service}. */
    public void onRequest(String service, long nowNanos) {
        share(service).onRequest(nowNanos);
    }

    /** Takes a retry of a request to {@code service} if there is one. */
    public boolean tryTake(String service, long nowNanos) {
        boolean taken = share(service).tryTake(nowNanos);
        (taken ? granted : denied).merge(service, 1L, Long::sum);
        return taken;
    }

    /** Tells {@code to} how many retries of each service were granted since the start. */
    public void eachGranted(ObjLongConsumer<String> to) {
        granted.forEach(to::accept);
    }

    /** Tells {@code to} how many retries of each service were denied since the start. */
    public void eachDenied(ObjLongConsumer<String> to) {
        denied.forEach(to::accept);
    }

    private RetryShare share(String service) {
        return shares.computeIfAbsent(
                service, s -> new RetryShare(allowance, nodes, random, startNanos));
    }
}
