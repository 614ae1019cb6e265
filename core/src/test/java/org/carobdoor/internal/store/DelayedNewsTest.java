package org.carobdoor.internal.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a node that relies on news of the store which come ever later through a full link,
 * and takes itself for current since they go on coming.
 */
final class DelayedNewsTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long PUBLISH_INTERVAL_MILLIS = 540;

    /** Age at which a served node must have begun to watch the store for itself. */
    private static final long MAX_AGE_MILLIS = 2_000;

    @ParameterizedTest
    @ValueSource(longs = {10, 100, 400})
    void nodeWatchesTheStoreItselfWhenNewsAreSecondsLate(long queueMillisPerMessage) {
        NewsFollower follower = NewsFollower.create(new SplittableRandom(7));
        TransitDelays delays = TransitDelays.create(0);
        follower.assign(true, false);
        long proven = 0;
        long queue = 0;
        for (int i = 0; i < 120; i++) {
            long sent = i * PUBLISH_INTERVAL_MILLIS * MILLI;
            long arrived = sent + (2 + queue) * MILLI;
            long delay = delays.record("reader", sent, arrived);
            follower.recordProof(1, arrived - delay, arrived);
            proven = sent;
            WatchMode mode = follower.next(arrived);
            long age = (arrived - proven) / MILLI;
            if (age > MAX_AGE_MILLIS && i > 20) {
                assertThat(mode).isEqualTo(WatchMode.WATCHING);
            }
            if (i > 15) {
                queue = Math.min(4_000, queue + queueMillisPerMessage);
            } else if (i == 15) {
                assertThat(mode).isEqualTo(WatchMode.SERVED);
            }
        }
    }
}
