package org.carobdoor.internal.retries;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;

/**
 * The retry budgets of a node by service. Each is this node's share of the retries that all nodes
 * may send to the service. A change of the number of nodes changes the maximum balance of a share,
 * but does not refund retries that were used.
 *
 * <pre>{@code
 * budgets.setNodes(peers.nodeCount(), now);
 * budgets.onRequest(service, now);
 * if (budgets.tryTake(service, now)) { ... }
 * }</pre>
 *
 * <p>All times are in nanoseconds of a monotonic clock. Not thread-safe; confined to one thread.
 */
public final class RetryBudgets {
    /** Time without {@link #recordRunning} after which this node has stood still. */
    private static final long MIN_PAUSE_NANOS = 500_000_000L;

    /** Time after a pause in which requests are read that were sent during it. */
    private static final long BACKLOG_NANOS = 500_000_000L;

    private final Map<String, RetryShare> shares = new TreeMap<>();
    private final Map<String, Long> granted = new TreeMap<>();
    private final Map<String, Long> denied = new TreeMap<>();
    private final RetryAllowance allowance;
    private final RandomGenerator random;
    private int nodes;
    private long nodesKnownAtNanos;
    private long runningAtNanos;
    private long pauseNanos;
    private long pauseEndedAtNanos;

    private RetryBudgets(RetryAllowance allowance, RandomGenerator random, long nowNanos) {
        this.allowance = allowance;
        this.random = random;
        this.nodesKnownAtNanos = nowNanos;
        this.runningAtNanos = nowNanos;
        this.pauseEndedAtNanos = nowNanos;
    }

    /**
     * Returns the budgets of a node that has just started. They hold only what its requests earn
     * until the number of nodes is known.
     */
    public static RetryBudgets create(
            RetryAllowance allowance, RandomGenerator random, long nowNanos) {
        return new RetryBudgets(allowance, random, nowNanos);
    }

    /** Sets the number of nodes that share the budgets, including this one. */
    public void setNodes(int count, long nowNanos) {
        if (nodes == 0) {
            nodesKnownAtNanos = nowNanos;
        }
        nodes = Math.max(1, count);
        shares.values().forEach(s -> s.setNodes(nodes, nowNanos));
    }

    /**
     * Returns the number of retries that this node may send in a window regardless of its requests.
     */
    public double fixedRetriesPerWindow() {
        return nodes == 0 ? 0 : RetryShare.fixedPart(allowance, nodes);
    }

    /**
     * Returns the number of nodes that share the budgets, including this one; 0 while it is
     * unknown.
     */
    public int nodes() {
        return nodes;
    }

    /**
     * Records that this node runs. Called several times a second; a longer gap shows that it was
     * suspended, and that the requests that it reads then were sent meanwhile.
     */
    public void recordRunning(long nowNanos) {
        long gap = nowNanos - runningAtNanos;
        if (gap > MIN_PAUSE_NANOS) {
            pauseNanos = gap;
            pauseEndedAtNanos = nowNanos;
        } else if (nowNanos - pauseEndedAtNanos > BACKLOG_NANOS) {
            pauseNanos = 0;
        }
        runningAtNanos = nowNanos;
    }

    /** Counts a request to {@code service}. */
    public void onRequest(String service, long nowNanos) {
        long gap = nowNanos - runningAtNanos;
        share(service).onRequest(nowNanos, gap > MIN_PAUSE_NANOS ? gap : pauseNanos);
    }

    /**
     * Takes a retry for a request to {@code service} and returns true, or returns false if none is
     * left.
     */
    public boolean tryTake(String service, long nowNanos) {
        boolean taken = share(service).tryTake(nowNanos);
        (taken ? granted : denied).merge(service, 1L, Long::sum);
        return taken;
    }

    /** Returns the number of retries that a request to {@code service} could take now. */
    public double balance(String service, long nowNanos) {
        RetryShare share = shares.get(service);
        return share == null ? 0 : share.balance(nowNanos);
    }

    /** Passes each service that has had a request and its balance to {@code consumer}. */
    public void eachBalance(long nowNanos, ObjDoubleConsumer<String> consumer) {
        shares.forEach((service, share) -> consumer.accept(service, share.balance(nowNanos)));
    }

    /**
     * Passes each service and its number of granted retries since the start to {@code consumer}.
     */
    public void eachGranted(ObjLongConsumer<String> consumer) {
        granted.forEach(consumer::accept);
    }

    /** Passes each service and its number of denied retries since the start to {@code consumer}. */
    public void eachDenied(ObjLongConsumer<String> consumer) {
        denied.forEach(consumer::accept);
    }

    private RetryShare share(String service) {
        return shares.computeIfAbsent(
                service, s -> new RetryShare(allowance, nodes, random, nodesKnownAtNanos));
    }
}
