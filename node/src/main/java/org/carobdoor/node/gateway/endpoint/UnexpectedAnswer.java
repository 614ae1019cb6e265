package org.carobdoor.node.gateway.endpoint;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * An answer on a connection to an endpoint that is not passed on to the waiting caller.
 *
 * @param reaction what happened to the answer and its connection
 * @param status the HTTP status; 0 if no head could be read
 * @param seenId the request that the answer names, if it names one
 * @param ownerUnknown whether the head does not tell which request it answers
 * @param expectedId the request last sent on the connection
 * @param requestCount the number of requests sent on the connection
 * @param sinceSentMillis the time since that request was sent, in milliseconds
 */
record UnexpectedAnswer(
        Reaction reaction,
        int status,
        @Nullable String seenId,
        boolean ownerUnknown,
        String expectedId,
        int requestCount,
        long sinceSentMillis) {

    /** What a connection does with an answer that is not passed on. */
    enum Reaction {
        /** The answer was skipped, and the request goes on waiting for its own. */
        DROPPED,
        /** The request was ended as failed, and the connection closed. */
        FAILED,
        /** No request was waiting; the connection was closed. */
        CLOSED;

        /** Returns the name for logs and metrics. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
