package org.carobdoor.internal.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a watch that waits on a silent connection for longer than the limit. */
final class WatchScheduleTest {
    private static final long MILLI = 1_000_000L;

    /**
     * A retry is delayed by 100 ms and takes a connection and a call of a few milliseconds each.
     */
    private static final long RETRY_NANOS = 150 * MILLI;

    @ParameterizedTest
    @ValueSource(ints = {2_000, 3_000, 4_000, 5_000, 9_000})
    void changesArriveWithinTheLimitAfterSilenceAtAnyMoment(int limitMillis) {
        Duration limit = Duration.ofMillis(limitMillis);
        SplittableRandom random = new SplittableRandom(limitMillis);
        for (int run = 0; run < 2_000; run++) {
            long now = random.nextLong(1L << 40);
            WatchSchedule schedule = WatchSchedule.create(limit, now);
            long silentAt = now + random.nextLong(20_000 * MILLI);
            while (true) {
                WatchSchedule.Call call = schedule.next(now);
                long reply = now + random.nextLong(call.waitMillis() * MILLI + 5 * MILLI);
                if (reply >= silentAt) {
                    assertWithMessage("silent %s ms after the call", (silentAt - now) / MILLI)
                            .that(call.giveUpNanos() + RETRY_NANOS - silentAt)
                            .isAtMost(limit.toNanos());
                    break;
                }
                schedule.recordReply(reply);
                // The delay that batches changes before the next call.
                now = reply + random.nextLong(500) * MILLI;
            }
        }
    }

    @Test
    void callsAreRareWhileNothingChanges() {
        WatchSchedule schedule = WatchSchedule.create(Duration.ofSeconds(3), 0);
        assertThat(schedule.next(0).waitMillis()).isAtLeast(1_500);
        schedule = WatchSchedule.create(Duration.ofSeconds(5), 0);
        assertThat(schedule.next(0).waitMillis()).isAtLeast(3_000);
    }

    @Test
    void slowStoreIsGivenTimeToReplyAfterTheWait() {
        WatchSchedule schedule = WatchSchedule.create(Duration.ofSeconds(3), 0);
        WatchSchedule.Call call = schedule.next(0);
        assertThat(call.giveUpNanos() - call.waitMillis() * MILLI).isAtLeast(1_000 * MILLI);
    }

    @ParameterizedTest
    @ValueSource(ints = {1_300, 2_000, 3_000, 4_000, 5_000, 9_000})
    void changesArriveWithinTheLimitAfterTheStoreReturnsAtAnyMoment(int limitMillis) {
        Duration limit = Duration.ofMillis(limitMillis);
        SplittableRandom random = new SplittableRandom(limitMillis);
        for (int run = 0; run < 2_000; run++) {
            boolean refuses = random.nextInt(4) == 0;
            long now = random.nextLong(1L << 40);
            WatchSchedule schedule = WatchSchedule.create(limit, now);
            schedule.recordReply(now);
            long returnsAt = now + random.nextLong(30_000 * MILLI);
            while (now < returnsAt) {
                WatchSchedule.Call call = schedule.next(now);
                now = schedule.recordFailure(refuses ? now + 5 * MILLI : call.giveUpNanos());
            }
            assertWithMessage("next call, in ms after the return")
                    .that((now - returnsAt) / MILLI)
                    .isAtMost(limitMillis - RETRY_NANOS / MILLI);
        }
    }

    @Test
    void callsAreRareDuringAnOutage() {
        for (boolean refuses : new boolean[] {false, true}) {
            WatchSchedule schedule = WatchSchedule.create(Duration.ofSeconds(4), 0);
            int calls = 0;
            long now = 0;
            while (now < 30_000 * MILLI) {
                WatchSchedule.Call call = schedule.next(now);
                now = schedule.recordFailure(refuses ? now + 5 * MILLI : call.giveUpNanos());
                calls++;
            }
            assertThat(calls).isAtMost(refuses ? 41 : 16);
        }
    }

    @Test
    void callsWaitLongAgainAfterAReply() {
        WatchSchedule schedule = WatchSchedule.create(Duration.ofSeconds(3), 0);
        long now = schedule.recordFailure(schedule.next(0).giveUpNanos());
        assertThat(schedule.next(now).waitMillis()).isAtMost(200);
        schedule.recordReply(now);
        assertThat(schedule.next(now).giveUpNanos() - now).isEqualTo(schedule.budgetNanos());
    }

    @Test
    void waitStaysPositiveWithATinyLimit() {
        WatchSchedule schedule = WatchSchedule.create(Duration.ofMillis(100), 0);
        assertThat(schedule.next(10_000 * MILLI).waitMillis()).isAtLeast(100);
    }
}
