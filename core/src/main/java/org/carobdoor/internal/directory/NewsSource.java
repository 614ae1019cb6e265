package org.carobdoor.internal.directory;

import java.util.Locale;
import org.carobdoor.EndpointId;

/**
 * Where a node learned the state of endpoints.
 *
 * @param kind how the news arrived
 * @param from the sender: {@code "store"}, the run of a node, or the id of an endpoint
 * @param maxAgeMillis how old the news can be at most, in milliseconds: the time since this node's
 *     copy was last known to be current
 */
public record NewsSource(Kind kind, String from, long maxAgeMillis) {
    /** How news of endpoints arrives. */
    public enum Kind {
        /** A change that a watch of the store has returned. */
        WATCH,
        /** A complete list, read from the store. */
        LIST,
        /** The complete copy of another node. */
        PEER,
        /** The entry is still missing some time after an outage of the store. */
        LAPSE,
        /** An answer of the endpoint. */
        ANSWER;

        /** Returns the name for logs and metrics. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final String STORE = "store";

    /** Returns the source of changes that a watch of the store has returned. */
    public static NewsSource watch(long maxAgeMillis) {
        return new NewsSource(Kind.WATCH, STORE, maxAgeMillis);
    }

    /** Returns the source of a complete list, read from the store. */
    public static NewsSource list(long maxAgeMillis) {
        return new NewsSource(Kind.LIST, STORE, maxAgeMillis);
    }

    /** Returns the source of the complete copy of the node {@code run}. */
    public static NewsSource peer(String run, long maxAgeMillis) {
        return new NewsSource(Kind.PEER, run, maxAgeMillis);
    }

    /** Returns the source of what {@code endpoint} has said in an answer. */
    static NewsSource answer(EndpointId endpoint) {
        return new NewsSource(Kind.ANSWER, endpoint.value(), 0);
    }

    /** Returns the source of the end of an entry that was missing after an outage. */
    static NewsSource lapse() {
        return new NewsSource(Kind.LAPSE, STORE, 0);
    }
}
