package org.carobdoor.internal.retries;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The retry budget of one catalogue entry: a fraction of its requests, plus a minimum rate so that
 * an entry with little traffic can retry at all. Safe for use by several threads.
 *
 * <p>Without a budget, retries multiply the load just when endpoints fail from overload.
 *
 * <pre>{@code
 * budget.onRequest();
 * if (budget.tryTake(clock.instant())) { ... }
 * }</pre>
 */
public final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.1;

    /** Refill rate without any requests: one retry every two seconds. */
    private static final double MIN_RETRIES_PER_SECOND = 0.5;

    /**
     * Maximum number of saved retries, which bounds the retries sent at once in a burst of
     * failures.
     */
    private static final double MAX_SAVED_RETRIES = 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ReentrantLock lock = new ReentrantLock();
    private final double perRequest;
    private final double minPerSecond;
    private final double maxSaved;
    private double balance;
    private Instant refilledAt;

    private RetryBudget(
            double perRequest, double minRate, double maxSaved, double balance, Instant now) {
        this.perRequest = perRequest;
        this.minPerSecond = minRate;
        this.maxSaved = maxSaved;
        this.refilledAt = now;
        this.balance = balance;
    }

    /** Returns a budget that holds one retry. */
    public static RetryBudget create(Instant now) {
        return new RetryBudget(
                RETRIES_PER_REQUEST, MIN_RETRIES_PER_SECOND, MAX_SAVED_RETRIES, 1, now);
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

    /** Takes one retry from the budget and returns true, or returns false if none is left. */
    public boolean tryTake(Instant now) {
        lock.lock();
        try {
            if (now.isAfter(refilledAt)) {
                double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
                balance = Math.min(maxSaved, balance + seconds * minPerSecond);
                refilledAt = now;
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
