package org.carobdoor.standins.engine;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/**
 * The slots of a continuous batch: a waiting request starts as soon as a slot is released. Waiting
 * requests are ordered by priority (lower numbers first), then by arrival.
 */
final class BatchSlots {
    private static final long CANCELLATION_POLL_MILLIS = 5;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition slotReleased = lock.newCondition();
    private final PriorityQueue<WaitingRequest> waiting = new PriorityQueue<>();
    private final int limit;
    private int running;
    private long nextSequence;

    BatchSlots(int limit) {
        this.limit = limit;
    }

    private record WaitingRequest(int priority, long sequence)
            implements Comparable<WaitingRequest> {
        @Override
        public int compareTo(WaitingRequest other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority != 0 ? byPriority : Long.compare(sequence, other.sequence);
        }
    }

    /** Waits for a slot. Returns false if {@code stillWanted} becomes false first. */
    boolean acquire(int priority, BooleanSupplier stillWanted) throws InterruptedException {
        lock.lock();
        try {
            var request = new WaitingRequest(priority, nextSequence++);
            waiting.add(request);
            try {
                while (running >= limit || !request.equals(waiting.peek())) {
                    if (!stillWanted.getAsBoolean()) {
                        return false;
                    }
                    var unused =
                            slotReleased.await(CANCELLATION_POLL_MILLIS, TimeUnit.MILLISECONDS);
                }
                running++;
                return true;
            } finally {
                waiting.remove(request);
                slotReleased.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Releases a slot. */
    void release() {
        lock.lock();
        try {
            running--;
            slotReleased.signalAll();
        } finally {
            lock.unlock();
        }
    }

    int running() {
        lock.lock();
        try {
            return running;
        } finally {
            lock.unlock();
        }
    }

    int waiting() {
        lock.lock();
        try {
            return waiting.size();
        } finally {
            lock.unlock();
        }
    }
}
