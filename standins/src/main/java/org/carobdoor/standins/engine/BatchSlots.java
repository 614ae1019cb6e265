package org.carobdoor.standins.engine;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/**
 * The places of a continuous batch: a request joins as soon as another one leaves. Waiting requests
 * join by priority (lower first), then by arrival.
 */
final class BatchSlots {
    private static final long POLL_MILLIS = 5;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition freed = lock.newCondition();
    private final PriorityQueue<Ticket> waiting = new PriorityQueue<>();
    private final int limit;
    private int running;
    private long nextTicket;

    BatchSlots(int limit) {
        this.limit = limit;
    }

    private record Ticket(int priority, long number) implements Comparable<Ticket> {
        @Override
        public int compareTo(Ticket other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority != 0 ? byPriority : Long.compare(number, other.number);
        }
    }

    /** Waits for a place; returns false if {@code stillWanted} turned false before. */
    boolean join(int priority, BooleanSupplier stillWanted) throws InterruptedException {
        lock.lock();
        try {
            var ticket = new Ticket(priority, nextTicket++);
            waiting.add(ticket);
            try {
                while (running >= limit || !ticket.equals(waiting.peek())) {
                    if (!stillWanted.getAsBoolean()) {
                        return false;
                    }
                    var unused = freed.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
                }
                running++;
                return true;
            } finally {
                waiting.remove(ticket);
                freed.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Gives a place back. */
    void leave() {
        lock.lock();
        try {
            running--;
            freed.signalAll();
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
