package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.carobdoor.message.RequestFeatures;

/**
 * Decides whether one endpoint has crashed, from the connections of this node to it.
 *
 * <p>A broken connection alone does not show a crash: the answer may have been lost, or the link is
 * cut. An endpoint whose process has ended refuses connections, so requests whose connections broke
 * before their answers began are reported only if a connection attempt right after that is refused.
 * An unreachable VM and a partitioned link do not refuse attempts.
 *
 * <pre>{@code
 * if (detector.recordBroken(features, now)) {
 *     // connect; on a refusal:
 *     List<RequestFeatures> suspects = detector.recordRefused(now);
 * }
 * }</pre>
 *
 * <p>Not thread-safe; each instance is confined to one thread.
 */
public final class EndpointCrashDetector {
    /** Maximum time from the first broken connection to the refused attempt that confirms it. */
    public static final long CONFIRMATION_NANOS = 500_000_000L;

    private final List<RequestFeatures> broken = new ArrayList<>();
    private long firstBrokenNanos;

    private EndpointCrashDetector() {}

    /** Returns the detector of an endpoint without broken connections. */
    public static EndpointCrashDetector create() {
        return new EndpointCrashDetector();
    }

    /**
     * Records that a connection broke before the answer of its request began.
     *
     * @return whether a connection attempt must be made now to confirm a crash; false if one is
     *     under way
     */
    public boolean recordBroken(RequestFeatures features, long nowNanos) {
        dropExpired(nowNanos);
        if (broken.isEmpty()) {
            firstBrokenNanos = nowNanos;
        }
        broken.add(features);
        return broken.size() == 1;
    }

    /**
     * Records that the endpoint refused a connection.
     *
     * @return the requests of which one may have caused the crash; empty if no crash is suspected
     */
    public List<RequestFeatures> recordRefused(long nowNanos) {
        dropExpired(nowNanos);
        List<RequestFeatures> suspects = List.copyOf(broken);
        broken.clear();
        return suspects;
    }

    /** Records that the endpoint accepted a connection, so its process has not ended. */
    public void recordConnected() {
        broken.clear();
    }

    private void dropExpired(long nowNanos) {
        if (!broken.isEmpty() && nowNanos - firstBrokenNanos > CONFIRMATION_NANOS) {
            broken.clear();
        }
    }
}
