package org.carobdoor.node.limits;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.OptionalLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;
import org.carobdoor.Result;
import org.carobdoor.internal.limits.LimitKind;
import org.carobdoor.internal.limits.LimitShare;
import org.carobdoor.internal.limits.SlotShare;
import org.carobdoor.message.AllotmentReply;

/** One limit on this node: its local share, with at most one request to the home node at a time. */
final class NodeLimit {
    private final LimitKind kind;
    private final InstantSource clock;
    private final LongFunction<Result<AllotmentReply>> home;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition replied = lock.newCondition();
    private final LimitShare share;
    private final SlotShare slots = new SlotShare();
    private boolean requestInFlight;
    private int waiting;

    /**
     * Creates a limit without an allotment.
     *
     * @param home requests an amount from the home node; must return within a short timeout
     */
    NodeLimit(LimitKind kind, InstantSource clock, LongFunction<Result<AllotmentReply>> home) {
        this.kind = kind;
        this.clock = clock;
        this.home = home;
        this.share = new LimitShare(kind, clock.instant());
    }

    /**
     * Uses {@code amount}, requesting an allotment if necessary. Waits until {@code deadline} at
     * most.
     */
    boolean use(long amount, long limit, int live, Instant deadline) throws InterruptedException {
        lock.lock();
        waiting++;
        try {
            while (!tryUse(amount, limit, live)) {
                if (requestInFlight) {
                    long nanos = Duration.between(clock.instant(), deadline).toNanos();
                    if (nanos <= 0 || replied.awaitNanos(nanos) <= 0) {
                        return false;
                    }
                } else if (!requestAllotment(amount)) {
                    return tryUse(amount, limit, live);
                }
            }
            return true;
        } finally {
            waiting--;
            lock.unlock();
        }
    }

    private boolean tryUse(long amount, long limit, int live) {
        Instant now = clock.instant();
        return kind == LimitKind.MAX_IN_FLIGHT
                ? slots.tryStart(limit, live, now)
                : share.tryUse(amount, limit, live, now);
    }

    /** Sends a request to the home node without holding the lock; returns whether one was sent. */
    private boolean requestAllotment(long amount) {
        Instant now = clock.instant();
        boolean isSlots = kind == LimitKind.MAX_IN_FLIGHT;
        OptionalLong wanted =
                isSlots ? slots.wanted(waiting, now) : share.wanted(amount * waiting, now);
        if (wanted.isEmpty()) {
            return false;
        }
        requestInFlight = true;
        lock.unlock();
        Result<AllotmentReply> reply;
        try {
            reply = home.apply(wanted.getAsLong());
        } finally {
            lock.lock();
            requestInFlight = false;
            replied.signalAll();
        }
        Instant repliedAt = clock.instant();
        if (isSlots) {
            slots.onReply(reply, wanted.getAsLong(), repliedAt);
        } else {
            share.onReply(reply, wanted.getAsLong(), repliedAt);
        }
        return true;
    }

    void charge(long amount) {
        lock.lock();
        try {
            share.charge(amount, clock.instant());
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request in flight of an entry without a limit. */
    void startWithoutLimit() {
        lock.lock();
        try {
            slots.start();
        } finally {
            lock.unlock();
        }
    }

    void end() {
        lock.lock();
        try {
            slots.end();
        } finally {
            lock.unlock();
        }
    }

    /** Renews the slots of requests in flight if a renewal is due. */
    void renew() {
        lock.lock();
        try {
            if (!requestInFlight) {
                var unused = requestAllotment(0);
            }
        } finally {
            lock.unlock();
        }
    }
}
