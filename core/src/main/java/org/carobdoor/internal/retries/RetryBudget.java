package org.carobdoor.internal.retries;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The retries that one catalogue entry may use: a share of its requests, and a few more so that one
 * with little traffic can retry at all. Safe for use by several threads.
 *
 * <p>Without a budget, retries multiply the load just when endpoints fail from overload.
 *
 * <pre>{@code
 * budget.onRequest();
 * if (budget.tryTake(clock.instant())) { ... }
 * }</pre>
 */
public final class RetryBudget {
    private static final double PER_REQUEST = 0.1;

    /** One retry every two seconds, however few requests there are. */
    private static final double FLOOR_PER_SECOND = 0.5;

    /** Unused retries kept for later; a burst of failures can use no more than these at once. */
    private static final double MAX_SAVED = 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ReentrantLock lock = new ReentrantLock();
    private final double perRequest;
    private final double floorPerSecond;
    private final double maxSaved;
    private double balance;
    private Instant filledAt;

    private RetryBudget(
            double perRequest, double floor, double maxSaved, double balance, Instant now) {
        this.perRequest = perRequest;
        this.floorPerSecond = floor;
        this.maxSaved = maxSaved;
        this.filledAt = now;
        this.balance = balance;
    }

    /** Returns a budget with one retry in it. */
    public static RetryBudget create(Instant now) {
        return new RetryBudget(PER_REQUEST, FLOOR_PER_SECOND, MAX_SAVED, 1, now);
    }

    /** Counts a request of the entry. */
    public void onRequest() {
        lock.lock();
        try {
            balance = Math.min(maxSaved, balance + perRequest);
        } finally {
            lock.unlock();
        }
    }

    /** Takes one retry if there is one. */
    public boolean tryTake(Instant now) {
        lock.lock();
        try {
            if (now.isAfter(filledAt)) {
                double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
                balance = Math.min(maxSaved, balance + seconds * floorPerSecond);
                filledAt = now;
            }
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
