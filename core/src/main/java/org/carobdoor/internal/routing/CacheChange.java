package org.carobdoor.internal.routing;

/**
 * A store or eviction event of the prefix cache of an engine.
 *
 * @param sequence sequence number of the event, consecutive for each engine
 * @param kind whether the block was stored or evicted
 * @param hash hash of the prefix up to and including the block, as in {@link PrefixHashes}
 */
public record CacheChange(long sequence, Kind kind, long hash) {

    /** The type of a cache event. */
    public enum Kind {
        /** The block was added to the cache. */
        STORED,
        /** The block was evicted from the cache. */
        EVICTED
    }
}
