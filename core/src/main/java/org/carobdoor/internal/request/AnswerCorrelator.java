package org.carobdoor.internal.request;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Tells which of the requests that were sent on a connection an answer belongs to.
 *
 * <p>A connection carries one request at a time, but an endpoint may answer a request twice, the
 * second time while the next request waits. Only the request id that an answer bears identifies it.
 * An answer without one can belong to any request of the connection, so it is attributed only if
 * there has been just one. Not thread-safe.
 *
 * <pre>{@code
 * correlator.onSent(request.id());
 * if (correlator.ownerOf(answer.requestId()) == AnswerOwner.UNKNOWN) { ... }
 * }</pre>
 */
public final class AnswerCorrelator {
    /** Number of earlier requests of a connection that are recognized. */
    static final int MAX_EARLIER_REQUESTS = 32;

    private final Deque<String> earlier = new ArrayDeque<>();
    private @Nullable String current;

    private AnswerCorrelator() {}

    /** Returns the correlator of a connection on which nothing has been sent. */
    public static AnswerCorrelator create() {
        return new AnswerCorrelator();
    }

    /** Records that a request was sent, after the answer to the previous one. */
    public void onSent(String requestId) {
        if (current != null) {
            if (earlier.size() == MAX_EARLIER_REQUESTS) {
                earlier.removeFirst();
            }
            earlier.addLast(current);
        }
        current = requestId;
    }

    /**
     * Returns the owner of an answer.
     *
     * @param answerId the request id that the answer bears; null if it bears none
     */
    public AnswerOwner ownerOf(@Nullable String answerId) {
        if (answerId == null) {
            return current != null && earlier.isEmpty() ? AnswerOwner.CURRENT : AnswerOwner.UNKNOWN;
        }
        if (answerId.equals(current)) {
            return AnswerOwner.CURRENT;
        }
        return earlier.contains(answerId) ? AnswerOwner.EARLIER : AnswerOwner.UNKNOWN;
    }
}
