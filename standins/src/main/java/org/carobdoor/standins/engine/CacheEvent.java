package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.standins.http.Json;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence the sequence number; a gap means that an event was lost
 * @param kind {@code "stored"} or {@code "evicted"}
 * @param block the identifier of the block, as defined by {@link PrefixBlocks}
 * @param atMillis when the change happened, in milliseconds since the epoch
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
