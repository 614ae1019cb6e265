package org.carobdoor.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.internal.request.PromptPart;

/**
 * The prompt parts that an engine is expected to have in its KV cache, based on the prompts sent to
 * it. The least recently used parts are evicted first, as in the engine.
 *
 * <p>Not thread-safe; each instance is confined to one thread.
 */
public final class ResidentParts {
    /**
     * Share of the memory assumed to be available for caching, because running requests take memory
     * from the cache.
     */
    private static final double USABLE_SHARE = 0.6;

    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Integer> tokensByPart =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final long capacity;
    private long tokens;

    private ResidentParts(long memoryTokens) {
        capacity = (long) (memoryTokens * USABLE_SHARE);
    }

    /** Returns the empty cache of an engine whose memory holds {@code memoryTokens} tokens. */
    public static ResidentParts create(long memoryTokens) {
        return new ResidentParts(memoryTokens);
    }

    /** Returns the number of leading {@code parts} that are expected to be cached. */
    public int leadingResidentParts(List<PromptPart> parts) {
        int count = 0;
        while (count < parts.size() && tokensByPart.containsKey(parts.get(count).id())) {
            count++;
        }
        return count;
    }

    /**
     * Records that the engine prefills {@code parts} and evicts the parts that exceed its capacity.
     */
    public void recordPrefill(List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer previousTokens = tokensByPart.put(part.id(), part.tokens());
            tokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        Iterator<Map.Entry<Long, Integer>> eldest = tokensByPart.entrySet().iterator();
        while (tokens > capacity && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
