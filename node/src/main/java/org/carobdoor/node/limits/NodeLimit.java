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

/** One limit at this node: its share, and one question to the home at a time. */
final class NodeLimit {
    private final LimitKind kind;
    private final InstantSource clock;
    private final LongFunction<Result<AllotmentReply>> home;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition answered = lock.newCondition();
    private final LimitShare share;
    private final SlotShare slots = new SlotShare();
    private boolean asking;
    private int waiting;

    /**
     * Creates a limit without an allotment.
     *
     * @param home asks the home for an amount and blocks for a short time at most
     */
    NodeLimit(LimitKind kind, InstantSource clock, LongFunction<Result<AllotmentReply>> home) {
        this.kind = kind;
        this.clock = clock;
        this.home = home;
        this.share = new LimitShare(kind, clock.instant());
    }

    /** Uses {@code amount}, asking the home if necessary; waits until {@code deadline} at most. */
    boolean use(long amount, long limit, int live, Instant deadline) throws InterruptedException {
        lock.lock();
        waiting++;
        try {
            while (!tryUse(amount, limit, live)) {
                if (asking) {
                    long nanos = Duration.between(clock.instant(), deadline).toNanos();
                    if (nanos <= 0 || answered.awaitNanos(nanos) <= 0) {
                        return false;
                    }
                } else if (!ask(amount)) {
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

    /** Asks the home without holding the lock; returns whether it was asked. */
    private boolean ask(long amount) {
        Instant now = clock.instant();
        boolean isSlots = kind == LimitKind.MAX_IN_FLIGHT;
        OptionalLong wanted =
                isSlots ? slots.wanted(waiting, now) : share.wanted(amount * waiting, now);
        if (wanted.isEmpty()) {
            return false;
        }
        asking = true;
        lock.unlock();
        Result<AllotmentReply> reply;
        try {
            reply = home.apply(wanted.getAsLong());
        } finally {
            lock.lock();
            asking = false;
            answered.signalAll();
        }
        Instant then = clock.instant();
        if (isSlots) {
            slots.onReply(reply, wanted.getAsLong(), then);
        } else {
            share.onReply(reply, wanted.getAsLong(), then);
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

    /** Counts a request in flight of an entry that has no limit now. */
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

    /** Renews the slots of requests in flight if it is time. */
    void renew() {
        lock.lock();
        try {
            if (!asking) {
                var unused = ask(0);
            }
        } finally {
            lock.unlock();
        }
    }
}
