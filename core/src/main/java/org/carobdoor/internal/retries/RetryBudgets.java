package org.carobdoor.internal.retries;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;

/**
 * The retry budgets of a node by service, each this node's share of what all nodes may send
 * together.
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
        if (count != nodes) {
            nodes = count;
            budgets.clear();
        }
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
