package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.standins.http.Json;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence counts the changes; a number that is missing was lost
 * @param kind {@code "stored"} or {@code "evicted"}
 * @param block the block, as {@link PrefixBlocks} names it
 * @param atMillis when it happened, in milliseconds since the epoch
 */
record CacheEvent(long sequence, String kind, String block, long atMillis) {

    ObjectNode toJson() {
        return Json.object()
                .put("sequence", sequence)
                .put("kind", kind)
                .put("block", block)
                .put("atMillis", atMillis);
    }
}
