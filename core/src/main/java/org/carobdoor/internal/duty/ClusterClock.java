package org.carobdoor.internal.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * A wall clock that follows the median of the nodes' clocks.
 *
 * <p>The wall clock of a VM can jump by seconds, and its monotonic clock stops while the VM is
 * suspended. This clock advances with the monotonic clock and is set to the median of the nodes
 * when it differs from the median by more than {@link #TOLERANCE_MILLIS}.
 *
 * <p>A status can arrive seconds after it was sent, for example in a backlog after this VM resumes.
 * The times of the peers are therefore lower bounds: the clock moves forward immediately, and
 * backward only after the median has been behind for {@link #BACKWARD_DELAY_NANOS}. Not
 * thread-safe.
 */
public final class ClusterClock {
    /**
     * Greater than the difference between two healthy clocks, and much smaller than a usage window.
     */
    public static final long TOLERANCE_MILLIS = 250;

    /** Differences older than this are ignored. */
    private static final long MAX_DIFFERENCE_AGE_NANOS = 1_500_000_000L;

    /**
     * Time in which each node sends five statuses, whereas a backlog of late ones is read within
     * milliseconds.
     */
    private static final long BACKWARD_DELAY_NANOS = 1_000_000_000L;

    /**
     * Minimum time between two computations of the median in a large cluster, whose statuses arrive
     * in batches of up to one for each node.
     */
    private static final long COMPUTE_INTERVAL_NANOS = 50_000_000L;

    /** The largest number of peers for which each report is followed by a computation. */
    private static final int MAX_PEERS_COMPUTED_EACH = 24;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Difference(long millis, long receivedAtNanos) {}

    private final Map<String, Difference> peers = new HashMap<>();
    private long offsetMillis;
    private long computedAtNanos;
    private boolean ahead;
    private long aheadSinceNanos;

    private ClusterClock(long offsetMillis) {
        this.offsetMillis = offsetMillis;
    }

    /** Returns a clock that is initialized with this VM's wall clock. */
    public static ClusterClock start(long nowNanos, long wallMillis) {
        return new ClusterClock(wallMillis - nowNanos / NANOS_PER_MILLI);
    }

    /** Returns the time in milliseconds since the epoch. */
    public long millis(long nowNanos) {
        return nowNanos / NANOS_PER_MILLI + offsetMillis;
    }

    /** Applies a time that was just received from another node. */
    public void report(String peer, long peerMillis, long nowNanos) {
        peers.put(peer, new Difference(peerMillis - millis(nowNanos), nowNanos));
        if (peers.size() <= MAX_PEERS_COMPUTED_EACH
                || nowNanos - computedAtNanos >= COMPUTE_INTERVAL_NANOS) {
            computedAtNanos = nowNanos;
            follow(nowNanos);
        }
    }

    private void follow(long nowNanos) {
        peers.values().removeIf(d -> nowNanos - d.receivedAtNanos > MAX_DIFFERENCE_AGE_NANOS);
        long[] differences = new long[peers.size() + 1];
        int n = 0;
        for (Difference d : peers.values()) {
            differences[n++] = d.millis;
        }
        Arrays.sort(differences);
        long median = differences[differences.length / 2];
        boolean wasAhead = ahead;
        ahead = median < -TOLERANCE_MILLIS;
        if (ahead && !wasAhead) {
            aheadSinceNanos = nowNanos;
        }
        boolean backward = ahead && nowNanos - aheadSinceNanos >= BACKWARD_DELAY_NANOS;
        if (backward || median > TOLERANCE_MILLIS) {
            offsetMillis += median;
            ahead = false;
            peers.clear();
        }
    }
}
