package org.carobdoor.internal.request;

/**
 * Decides which requests a stopping node still takes, and when it has to answer those that it took.
 *
 * <p>The load is that of a planned stop: callers keep sending on open connections until the process
 * is gone, and a connection that ends without an answer is worse for them than a refusal, which
 * another node can serve at once. Times are in {@link System#nanoTime}. Immutable.
 */
public final class ShutdownAdmission {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Time before the end of the grace period at which the process exits, so that it ends before
     * the platform kills it.
     */
    private static final long EXIT_MARGIN_NANOS = 250 * NANOS_PER_MILLI;

    /** Time before the exit in which the last responses are written. */
    private static final long RESPONSE_MARGIN_NANOS = 200 * NANOS_PER_MILLI;

    /**
     * Part of the grace period in which new streams are taken. Streams last several times as long
     * as other requests, and one that is broken off midway cannot be answered.
     */
    private static final double STREAM_FRACTION = 0.35;

    /**
     * Multiple of the latency objective within which nearly all answers arrive, also those of
     * endpoints that are slower than others.
     */
    private static final double OBJECTIVE_FACTOR = 4;

    private final long streamsUntilNanos;
    private final long answerByNanos;
    private final long exitAtNanos;

    private ShutdownAdmission(long startNanos, long graceNanos) {
        streamsUntilNanos = startNanos + (long) (graceNanos * STREAM_FRACTION);
        exitAtNanos = startNanos + Math.max(0, graceNanos - EXIT_MARGIN_NANOS);
        answerByNanos = exitAtNanos - RESPONSE_MARGIN_NANOS;
    }

    /** Returns the decision for a stop that starts at {@code startNanos}. */
    public static ShutdownAdmission start(long startNanos, long graceNanos) {
        return new ShutdownAdmission(startNanos, graceNanos);
    }

    /**
     * Returns whether a request is taken; otherwise it is refused at once as not run.
     *
     * @param stream whether the response is a stream
     * @param objectiveMillis the latency objective of its route
     * @param deadlineNanos when the caller stops waiting
     */
    public boolean admits(boolean stream, long objectiveMillis, long deadlineNanos, long nowNanos) {
        if (stream) {
            return nowNanos - streamsUntilNanos < 0;
        }
        long expectedNanos =
                Math.min(
                        (long) (objectiveMillis * OBJECTIVE_FACTOR * NANOS_PER_MILLI),
                        deadlineNanos - nowNanos);
        return nowNanos + expectedNanos - answerByNanos <= 0;
    }

    /**
     * Returns when the open requests must be answered, be it with an error that states an unknown
     * outcome.
     */
    public long answerByNanos() {
        return answerByNanos;
    }

    /** Returns when the process exits even if requests are open. */
    public long exitAtNanos() {
        return exitAtNanos;
    }
}
