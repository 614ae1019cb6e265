package org.carobdoor.internal.retries;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;

/**
 * The retry budgets of a node by service, each this node's share of what all nodes may send
 * together.
 *
 * <p>A share is earned by requests, and up to an equal part of the saved retries may be kept. What
 * is kept only shrinks when the number of nodes changes, and a new run of a node starts with
 * nothing. All nodes together therefore send at most the saved retries and {@code perRequest} for
 * each request in any span of time, whatever nodes start, stop or are told of each other.
 *
 * <p>Load answered: all nodes restart, or are replaced one after the other, while endpoints fail
 * most of what is sent to them.
 *
 * <pre>{@code
 * budgets.setNodes(peers.nodeCount());
 * budgets.onRequest(service);
 * if (budgets.tryTake(service, System.nanoTime())) { ... }
 * }</pre>
 *
 * <p>Belongs to one thread.
 */
public final class RetryBudgets {
    /** Keeps this node's share of the saved retries below the whole while nodes come and go. */
    private static final double SAVED_SHARE = 0.8;

    private final Map<String, RetryBudget> budgets = new TreeMap<>();
    private final Map<String, Long> granted = new TreeMap<>();
    private final Map<String, Long> denied = new TreeMap<>();
    private final double perRequest;
    private final double saved;
    private int nodes = 1;

    private RetryBudgets(double perRequest, double saved) {
        this.perRequest = perRequest;
        this.saved = saved;
    }

    /**
     * Returns the budgets of a node that knows no other node.
     *
     * @param perRequest the retries that all nodes may send for each request
     * @param saved the retries that all nodes may send whatever the number of requests
     */
    public static RetryBudgets create(double perRequest, double saved) {
        return new RetryBudgets(perRequest, saved);
    }

    /** Sets the number of nodes that share the budgets, this one included. */
    public void setNodes(int count) {
        nodes = count;
        budgets.values().forEach(b -> b.setMaxSaved(savedHere()));
    }

    /** Returns the retries that this node may save for a burst of failures. */
    public double savedHere() {
        return saved * SAVED_SHARE / nodes;
    }

    /** Counts a request to {@code service}. */
    public void onRequest(String service) {
        budget(service).onRequest();
    }

    /**
     * Takes a retry of a request to {@code service} if there is one.
     *
     * @param nowNanos the time on a steady clock, in nanoseconds
     */
    public boolean tryTake(String service, long nowNanos) {
        boolean taken = budget(service).tryTake(Instant.ofEpochSecond(0, nowNanos));
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

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                s -> RetryBudget.createShare(perRequest, savedHere(), Instant.ofEpochSecond(0)));
    }
}
