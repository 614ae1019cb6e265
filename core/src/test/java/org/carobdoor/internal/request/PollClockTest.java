package org.carobdoor.internal.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against data that waited unread and is taken for data that has just arrived. */
final class PollClockTest {
    private final PollClock polls = PollClock.create();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void dataReadBeforeTheSecondPollHasNotWaited() {
        assertThat(polls.earliestArrivalNanos(ms(900))).isEqualTo(ms(900));
        assertThat(polls.recordPoll(ms(1_000))).isEqualTo(0);
        assertThat(polls.earliestArrivalNanos(ms(2_000))).isEqualTo(ms(2_000));
    }

    @Test
    void dataOfALoopOnTimeHasNotWaited() {
        long unused = polls.recordPoll(0);
        for (int i = 1; i < 50; i++) {
            assertThat(polls.recordPoll(ms(100 * i))).isEqualTo(ms(100));
            assertThat(polls.maxWaitNanos(ms(100 * i + 90))).isEqualTo(0);
        }
    }

    @Test
    void dataReadAfterAHeldUpTurnMayHaveWaitedSinceThePollBefore() {
        long unused = polls.recordPoll(0);
        unused = polls.recordPoll(ms(100));
        assertThat(polls.recordPoll(ms(1_600))).isEqualTo(ms(1_500));
        assertThat(polls.isLate(ms(1_601))).isTrue();
        assertThat(polls.earliestArrivalNanos(ms(1_650))).isEqualTo(ms(100));
        unused = polls.recordPoll(ms(1_700));
        assertThat(polls.isLate(ms(1_701))).isFalse();
        assertThat(polls.earliestArrivalNanos(ms(1_701))).isEqualTo(ms(1_701));
    }

    @Test
    void dataReadLateInALongTurnMayHaveWaited() {
        long unused = polls.recordPoll(0);
        unused = polls.recordPoll(ms(50));
        assertThat(polls.earliestArrivalNanos(ms(1_200))).isEqualTo(0);
    }
}
