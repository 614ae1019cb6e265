package org.carobdoor.internal.routing;

/**
 * A change of the prefix cache of an engine.
 *
 * @param sequence number of the event at its engine, one more than that of the event before
 * @param kind what happened
 * @param hash the hash of the prefix that the block ends, as in {@link PrefixHashes}
 */
public record CacheChange(long sequence, Kind kind, long hash) {

    /** What happened to a block. */
    public enum Kind {
        /** It is in the cache. */
        STORED,
        /** It has been evicted. */
        EVICTED
    }
}
