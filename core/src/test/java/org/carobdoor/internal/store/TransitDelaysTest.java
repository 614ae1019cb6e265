package org.carobdoor.internal.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against old news that counts as fresh because it was under way for long. */
final class TransitDelaysTest {
    private static final long OTHER_CLOCK = 987_654_321_000_000L;
    private final TransitDelays delays = TransitDelays.create(0);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the recorded delay of a message, in milliseconds. */
    private long record(String sender, long sentMillis, long delayMillis) {
        long sent = OTHER_CLOCK + ms(sentMillis);
        return TimeUnit.NANOSECONDS.toMillis(
                delays.record(sender, sent, ms(sentMillis + delayMillis)));
    }

    @Test
    void messageThatWaitedInAQueueIsLate() {
        assertThat(record("a", 100, 2)).isEqualTo(0);
        assertThat(record("a", 600, 2_702)).isEqualTo(2_700);
        assertThat(record("b", 700, 3_000)).isEqualTo(0);
        assertThat(record("a", 4_000, 3)).isEqualTo(1);
    }

    @Test
    void delaysAreNeverBelowZeroAndFollowAGrowingQueue() {
        SplittableRandom random = new SplittableRandom(50);
        assertThat(record("a", 0, 1)).isEqualTo(0);
        long queue = 0;
        for (int i = 1; i < 30; i++) {
            queue += random.nextInt(100);
            assertThat(record("a", 500L * i, 1 + queue)).isEqualTo(queue);
        }
    }

    @Test
    void senderThatWasSuspendedIsTrustedAgain() {
        assertThat(record("a", 1_000, 1)).isEqualTo(0);
        for (long t = 1_500; t < 140_000; t += 500) {
            long late = record("a", t, 6_001);
            if (t > 122_000) {
                assertThat(late).isEqualTo(0);
            }
        }
    }
}
