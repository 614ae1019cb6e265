package org.carobdoor.node.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Records whether any byte of one call can have been sent, which decides between {@code not_run}
 * and {@code unknown} when the call fails.
 */
final class SendTracker {
    private final AtomicBoolean started = new AtomicBoolean();

    /** Records that sending starts; returns false if it had started before. */
    boolean start() {
        return started.compareAndSet(false, true);
    }

    /** Returns whether sending has started. */
    boolean hasStarted() {
        return started.get();
    }
}
