package org.carobdoor.internal;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the time of the wall clock and then advances monotonically. Deadlines
 * computed from it do not shift when the wall clock of the VM is adjusted.
 *
 * <pre>{@code
 * InstantSource clock = MonotonicInstantSource.start();
 * Instant deadline = clock.instant().plusSeconds(3);
 * }</pre>
 */
public final class MonotonicInstantSource implements InstantSource {
    private final Instant startInstant;
    private final long startNanos;

    private MonotonicInstantSource(Instant startInstant, long startNanos) {
        this.startInstant = startInstant;
        this.startNanos = startNanos;
    }

    /** Returns a clock that starts now. */
    public static MonotonicInstantSource start() {
        return new MonotonicInstantSource(Instant.now(), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return startInstant.plusNanos(System.nanoTime() - startNanos);
    }
}
