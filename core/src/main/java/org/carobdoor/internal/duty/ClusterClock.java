package org.carobdoor.internal.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The time of day that most nodes agree on.
 *
 * <p>The clock of day of a VM can jump by seconds, and the steady clock stands still while the VM
 * is suspended. This clock runs with the steady clock and moves to the median of the nodes when it
 * differs from it by more than {@link #TOLERANCE_MILLIS}.
 *
 * <p>A status can arrive seconds after it was sent, all at once when this VM goes on after a stand
 * still. So the others' times are lower bounds: the clock moves forward at once, and back only
 * after the nodes have been behind for {@link #BACK_NANOS}. Belongs to one thread.
 */
public final class ClusterClock {
    /** More than two healthy clocks differ, and much less than the windows that are counted. */
    public static final long TOLERANCE_MILLIS = 250;

    /** Differences older than this are left out. */
    private static final long FRESH_NANOS = 1_500_000_000L;

    /** Five statuses of each node; a backlog of late ones is read within milliseconds. */
    private static final long BACK_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Difference(long millis, long heardAtNanos) {}

    private final Map<String, Difference> peers = new HashMap<>();
    private long offsetMillis;
    private boolean ahead;
    private long aheadSinceNanos;

    private ClusterClock(long offsetMillis) {
        this.offsetMillis = offsetMillis;
    }

    /** Returns a clock that starts with this VM's clock of day. */
    public static ClusterClock start(long nowNanos, long wallMillis) {
        return new ClusterClock(wallMillis - nowNanos / NANOS_PER_MILLI);
    }

    /** Returns the time in milliseconds since the epoch. */
    public long millis(long nowNanos) {
        return nowNanos / NANOS_PER_MILLI + offsetMillis;
    }

    /** Applies the time that another node has just reported. */
    public void report(String peer, long peerMillis, long nowNanos) {
        peers.put(peer, new Difference(peerMillis - millis(nowNanos), nowNanos));
        peers.values().removeIf(d -> nowNanos - d.heardAtNanos > FRESH_NANOS);
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
        boolean back = ahead && nowNanos - aheadSinceNanos >= BACK_NANOS;
        if (back || median > TOLERANCE_MILLIS) {
            offsetMillis += median;
            ahead = false;
            peers.clear();
        }
    }
}
