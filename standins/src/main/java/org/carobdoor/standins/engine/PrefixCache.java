package org.carobdoor.standins.engine;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;

/** A prefix cache of limited size that evicts the least recently used block. */
final class PrefixCache {
    private static final int KEPT_EVENTS = 10_000;

    private final InstantSource clock;
    private final int capacity;
    private final long eventLagMillis;
    private final int gapEvery;
    private final LinkedHashSet<String> blocks = new LinkedHashSet<>();
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long sequence;

    /**
     * Makes an empty cache.
     *
     * @param capacity the number of blocks
     * @param eventLagMillis how late events are published
     * @param gapEvery each event whose number is a multiple of this is lost, 0 for none
     */
    PrefixCache(InstantSource clock, int capacity, long eventLagMillis, int gapEvery) {
        this.clock = clock;
        this.capacity = capacity;
        this.eventLagMillis = eventLagMillis;
        this.gapEvery = gapEvery;
    }

    /** Returns how many of the first blocks are cached, and marks them as used. */
    synchronized int use(List<String> prefix) {
        int cached = 0;
        while (cached < prefix.size() && blocks.contains(prefix.get(cached))) {
            touch(prefix.get(cached++));
        }
        return cached;
    }

    /** Stores blocks and evicts others if there is no room. */
    synchronized void store(List<String> added) {
        for (String block : added) {
            if (!blocks.contains(block)) {
                record("stored", block);
            }
            touch(block);
        }
        while (blocks.size() > capacity) {
            record("evicted", blocks.removeFirst());
        }
    }

    /** Returns the published events after {@code sequence}. */
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

    private void touch(String block) {
        blocks.addLast(block);
    }

    private void record(String kind, String block) {
        sequence++;
        if (gapEvery > 0 && sequence % gapEvery == 0) {
            return;
        }
        events.addLast(new CacheEvent(sequence, kind, block, clock.millis()));
        if (events.size() > KEPT_EVENTS) {
            events.removeFirst();
        }
    }
}
