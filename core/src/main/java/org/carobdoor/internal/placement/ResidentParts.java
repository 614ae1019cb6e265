package org.carobdoor.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.internal.request.PromptPart;

/**
 * The prompt parts that an engine is expected to have in its KV cache, from what was sent to it.
 * The least recently used parts are forgotten first, as the engine does.
 *
 * <p>Belongs to one thread.
 */
public final class ResidentParts {
    /** Running requests take memory from the cache, so only a share of it is counted on. */
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

    /** Returns an empty cache of an engine whose memory holds {@code memoryTokens}. */
    public static ResidentParts create(long memoryTokens) {
        return new ResidentParts(memoryTokens);
    }

    /** Returns the number of leading {@code parts} that are expected in the cache. */
    public int leadingResident(List<PromptPart> parts) {
        int n = 0;
        while (n < parts.size() && tokensByPart.containsKey(parts.get(n).id())) {
            n++;
        }
        return n;
    }

    /** Notes that the engine reads these parts. */
    public void read(List<PromptPart> parts) {
        for (PromptPart p : parts) {
            Integer before = tokensByPart.put(p.id(), p.tokens());
            tokens += p.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<Long, Integer>> eldest = tokensByPart.entrySet().iterator();
        while (tokens > capacity && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
