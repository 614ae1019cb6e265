package org.carobdoor.bench.experiment;

import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler that also is the clock of the code under test. Actions that are due at
 * the same time run in the order in which they were scheduled.
 */
final class EventScheduler implements InstantSource {
    private record Event(long atMicros, long order, Runnable action) {}

    private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMicros != b.atMicros
                                    ? Long.compare(a.atMicros, b.atMicros)
                                    : Long.compare(a.order, b.order));
    private long nowMicros;
    private long order;

    @Override
    public Instant instant() {
        return START.plusNanos(nowMicros * 1_000);
    }

    @Override
    public long millis() {
        return START.toEpochMilli() + nowMicros / 1_000;
    }

    /** Returns the simulated time since the start, in milliseconds. */
    double nowMillis() {
        return nowMicros / 1_000.0;
    }

    void schedule(double millis, Runnable action) {
        events.add(new Event(nowMicros + Math.round(millis * 1_000), order++, action));
    }

    void scheduleRepeating(double millis, Runnable action) {
        schedule(
                millis,
                () -> {
                    action.run();
                    scheduleRepeating(millis, action);
                });
    }

    void runUntil(double millis) {
        long end = Math.round(millis * 1_000);
        for (Event e = events.peek(); e != null && e.atMicros <= end; e = events.peek()) {
            events.poll();
            nowMicros = e.atMicros;
            e.action.run();
        }
        nowMicros = end;
    }
}
