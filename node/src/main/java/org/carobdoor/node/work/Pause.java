package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.locks.LockSupport;

/** Blocks a virtual thread until a point in time. */
final class Pause {
    private Pause() {}

    /** Returns at {@code deadline}, or earlier if the thread is interrupted. */
    static void until(Instant deadline, InstantSource clock) {
        long nanos = Duration.between(clock.instant(), deadline).toNanos();
        if (nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
    }
}
