package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Runs scheduled actions in the order of a virtual clock. */
final class Simulator {
    private record Event(Instant at, long order, Runnable action) {}

    final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
    private Instant now = Instant.ofEpochSecond(1_800_000_000);
    private long order;

    Simulator(long seed) {
        random = new Random(seed);
    }

    Instant now() {
        return now;
    }

    InstantSource clock(Duration offset) {
        return () -> now.plus(offset);
    }

    void schedule(Instant time, Runnable action) {
        events.add(new Event(time.isBefore(now) ? now : time, order++, action));
    }

    /** Schedules {@code action} after a random delay of less than {@code maxMillis}. */
    void scheduleWithin(int maxMillis, Runnable action) {
        schedule(now.plusNanos(random.nextInt(maxMillis * 1000) * 1000L), action);
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    void runUntil(Instant end) {
        while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
