package org.carobdoor.internal.request;

/**
 * Decides whether connections to one endpoint carry more than one request.
 *
 * <p>An endpoint that has sent an answer of unknown owner is likely to do so again, and each such
 * answer costs the request that waits on its connection. On a connection for a single request there
 * is no doubt, so none is reused for some time. Times are in nanoseconds of a monotonic clock. Not
 * thread-safe.
 */
public final class ConnectionReuse {
    /** Time for which connections are not reused after an answer of unknown owner. */
    static final long SUSPENSION_NANOS = 10_000_000_000L;

    private boolean suspended;
    private long suspendedUntilNanos;

    private ConnectionReuse() {}

    /** Returns the state of an endpoint that has sent no answer of unknown owner. */
    public static ConnectionReuse create() {
        return new ConnectionReuse();
    }

    /** Records an answer that bears no request id, or an id that is not of its connection. */
    public void onUnknownAnswer(long nowNanos) {
        suspended = true;
        suspendedUntilNanos = nowNanos + SUSPENSION_NANOS;
    }

    /** Returns whether a connection that has carried a request may carry another one. */
    public boolean isAllowed(long nowNanos) {
        suspended = suspended && suspendedUntilNanos - nowNanos > 0;
        return !suspended;
    }
}
