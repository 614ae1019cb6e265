package org.carobdoor.standins.engine;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;

/** A prefix cache of bounded size that evicts the least recently used block. */
final class PrefixCache {
    private static final int MAX_RETAINED_EVENTS = 10_000;

    private final InstantSource clock;
    private final int capacity;
    private final long eventLagMillis;
    private final int gapEvery;
    private final LinkedHashSet<String> blocks = new LinkedHashSet<>();
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long sequence;

    /**
     * Creates an empty cache.
     *
     * @param capacity the maximum number of blocks
     * @param eventLagMillis the delay before events are published
     * @param gapEvery events whose sequence number is a multiple of this are lost; 0 loses none
     */
    PrefixCache(InstantSource clock, int capacity, long eventLagMillis, int gapEvery) {
        this.clock = clock;
        this.capacity = capacity;
        this.eventLagMillis = eventLagMillis;
        this.gapEvery = gapEvery;
    }

    /** Returns the number of leading blocks that are cached, and marks them as recently used. */
    synchronized int lookUpPrefix(List<String> prefix) {
        int cached = 0;
        while (cached < prefix.size() && blocks.contains(prefix.get(cached))) {
            markUsed(prefix.get(cached++));
        }
        return cached;
    }

    /** Stores blocks, and evicts others if the capacity is exceeded. */
    synchronized void store(List<String> added) {
        for (String block : added) {
            if (!blocks.contains(block)) {
                recordEvent("stored", block);
            }
            markUsed(block);
        }
        while (blocks.size() > capacity) {
            recordEvent("evicted", blocks.removeFirst());
        }
    }

    /** Returns the published events whose sequence number is above {@code after}. */
    synchronized List<CacheEvent> eventsAfter(long after) {
        long asOf = clock.millis() - eventLagMillis;
        return events.stream().filter(e -> e.sequence() > after && e.atMillis() <= asOf).toList();
    }

    synchronized int size() {
        return blocks.size();
    }

    int capacity() {
        return capacity;
    }

    private void markUsed(String block) {
        blocks.addLast(block);
    }

    private void recordEvent(String kind, String block) {
        sequence++;
        if (gapEvery > 0 && sequence % gapEvery == 0) {
            return;
        }
        events.addLast(new CacheEvent(sequence, kind, block, clock.millis()));
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }
}
