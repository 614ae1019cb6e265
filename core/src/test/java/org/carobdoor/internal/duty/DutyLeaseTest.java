package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against two concurrent holders of the duties and against acting on an expired lease. */
final class DutyLeaseTest {
    private static final long MS = 1_000_000L;
    private static final long TTL = 3_000;

    private final DutyLease dutyLease = DutyLease.create("n1@1", new Random(1));

    private void acquire(long nowNanos, long wall) {
        dutyLease.keyMissing(1, nowNanos - 1000 * MS);
        assertThat(dutyLease.next(nowNanos, wall)).isInstanceOf(DutyStep.TakeLease.class);
        dutyLease.leaseTaken(7, TTL);
        assertThat(dutyLease.next(nowNanos, wall)).isInstanceOf(DutyStep.WriteHolder.class);
        dutyLease.holderWritten(20);
    }

    @Test
    void holdsAfterTheKeyIsWritten() {
        acquire(5_000 * MS, 5_000);
        assertThat(dutyLease.isHolder(5_100 * MS, 5_100)).isTrue();
        assertThat(dutyLease.fencingToken()).isEqualTo(20);
    }

    @Test
    void doesNotActOnceTheLeaseMayHaveEnded() {
        acquire(5_000 * MS, 5_000);
        assertThat(dutyLease.isHolder((5_000 + TTL) * MS, 5_000 + TTL)).isFalse();
    }

    @Test
    void suspendedNodeDoesNotActBeforeItHasRenewed() {
        acquire(5_000 * MS, 5_000);
        // The monotonic clock stopped for 10 s while the wall clock advanced.
        assertThat(dutyLease.isHolder(5_010 * MS, 15_010)).isFalse();
        assertThat(dutyLease.next(5_010 * MS, 15_010)).isInstanceOf(DutyStep.Renew.class);
        dutyLease.refused(5_020 * MS);
        assertThat(dutyLease.isHolder(5_020 * MS, 15_020)).isFalse();
    }

    @Test
    void renewalCountsFromItsSending() {
        acquire(5_000 * MS, 5_000);
        assertThat(dutyLease.next(6_500 * MS, 6_500)).isInstanceOf(DutyStep.Renew.class);
        dutyLease.renewed(TTL);
        assertThat(dutyLease.isHolder(9_000 * MS, 9_000)).isTrue();
        assertThat(dutyLease.isHolder(9_200 * MS, 9_200)).isFalse();
    }

    @Test
    void unansweredWriteThatTookEffectIsSeenInTheStore() {
        dutyLease.keyMissing(1, 0);
        dutyLease.next(5_000 * MS, 5_000);
        dutyLease.leaseTaken(7, TTL);
        DutyStep.WriteHolder write = (DutyStep.WriteHolder) dutyLease.next(5_000 * MS, 5_000);
        dutyLease.unanswered(5_100 * MS);
        dutyLease.keyWritten(write.token(), 33, 5_200 * MS, 5_200);
        assertThat(dutyLease.isHolder(5_200 * MS, 5_200)).isTrue();
        assertThat(dutyLease.fencingToken()).isEqualTo(33);
    }

    @Test
    void stepsDownWhenAnotherHolderIsSeen() {
        acquire(5_000 * MS, 5_000);
        dutyLease.keyWritten("n2@1/1", 40, 5_100 * MS, 5_100);
        assertThat(dutyLease.isHolder(5_100 * MS, 5_100)).isFalse();
    }

    @Test
    void olderKeyRemovalDoesNotEndTheHolding() {
        acquire(5_000 * MS, 5_000);
        dutyLease.keyMissing(19, 5_050 * MS);
        assertThat(dutyLease.isHolder(5_100 * MS, 5_100)).isTrue();
    }

    @Test
    void fencedOutHolderStopsAtOnce() {
        acquire(5_000 * MS, 5_000);
        dutyLease.fencedOut(5_100 * MS);
        assertThat(dutyLease.isHolder(5_100 * MS, 5_100)).isFalse();
    }

    @Test
    void stoppingNodeDoesNotAcquireTheLease() {
        assertThat(dutyLease.release(0).isEmpty()).isTrue();
        dutyLease.keyMissing(1, 0);
        assertThat(dutyLease.next(5_000 * MS, 5_000)).isInstanceOf(DutyStep.Wait.class);
    }
}
