package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Notifies the readers of a request when more of its answer is available. */
final class Waiters {
    private final Map<String, Map<Waiter, Boolean>> byRequest = new ConcurrentHashMap<>();
    private final InstantSource clock;

    Waiters(InstantSource clock) {
        this.clock = clock;
    }

    /** A waiting reader. It registers before its first read so that no change is missed. */
    final class Waiter implements AutoCloseable {
        private final String id;
        private final Semaphore signals = new Semaphore(0);

        private Waiter(String id) {
            this.id = id;
        }

        /** Waits until a signal has arrived since the last call, or until {@code deadline}. */
        void await(Instant deadline) {
            try {
                long nanos = Duration.between(clock.instant(), deadline).toNanos();
                if (signals.tryAcquire(Math.max(0, nanos), TimeUnit.NANOSECONDS)) {
                    signals.drainPermits();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() {
            byRequest.computeIfPresent(
                    id,
                    (key, waiters) -> {
                        waiters.remove(this);
                        return waiters.isEmpty() ? null : waiters;
                    });
        }
    }

    Waiter register(String id) {
        var waiter = new Waiter(id);
        byRequest.compute(
                id,
                (key, old) -> {
                    Map<Waiter, Boolean> waiters = old == null ? new ConcurrentHashMap<>(2) : old;
                    waiters.put(waiter, true);
                    return waiters;
                });
        return waiter;
    }

    void signal(String id) {
        byRequest.getOrDefault(id, Map.of()).keySet().forEach(waiter -> waiter.signals.release());
    }
}
