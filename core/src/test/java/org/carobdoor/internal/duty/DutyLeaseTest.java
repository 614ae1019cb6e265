package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against two holders of the duties at a time and against acting on a lease that ended. */
final class DutyLeaseTest {
    private static final long MS = 1_000_000L;
    private static final long TTL = 3_000;

    private final DutyLease tenure = DutyLease.create("n1@1", new Random(1));

    private void take(long nowNanos, long wall) {
        tenure.keyMissing(1, nowNanos - 1000 * MS);
        assertThat(tenure.next(nowNanos, wall)).isInstanceOf(DutyStep.TakeLease.class);
        tenure.leaseTaken(7, TTL);
        assertThat(tenure.next(nowNanos, wall)).isInstanceOf(DutyStep.WriteHolder.class);
        tenure.holderWritten(20);
    }

    @Test
    void holdsAfterTheKeyIsWritten() {
        take(5_000 * MS, 5_000);
        assertThat(tenure.isHolder(5_100 * MS, 5_100)).isTrue();
        assertThat(tenure.fence()).isEqualTo(20);
    }

    @Test
    void doesNotActOnceTheLeaseMayHaveEnded() {
        take(5_000 * MS, 5_000);
        assertThat(tenure.isHolder((5_000 + TTL) * MS, 5_000 + TTL)).isFalse();
    }

    @Test
    void suspendedNodeDoesNotActBeforeItHasRenewed() {
        take(5_000 * MS, 5_000);
        // The steady clock stood still for ten seconds, the clock of day did not.
        assertThat(tenure.isHolder(5_010 * MS, 15_010)).isFalse();
        assertThat(tenure.next(5_010 * MS, 15_010)).isInstanceOf(DutyStep.Renew.class);
        tenure.refused(5_020 * MS);
        assertThat(tenure.isHolder(5_020 * MS, 15_020)).isFalse();
    }

    @Test
    void renewalCountsFromItsSending() {
        take(5_000 * MS, 5_000);
        assertThat(tenure.next(6_500 * MS, 6_500)).isInstanceOf(DutyStep.Renew.class);
        tenure.renewed(TTL);
        assertThat(tenure.isHolder(9_000 * MS, 9_000)).isTrue();
        assertThat(tenure.isHolder(9_200 * MS, 9_200)).isFalse();
    }

    @Test
    void unansweredWriteThatTookEffectIsSeenInTheStore() {
        tenure.keyMissing(1, 0);
        tenure.next(5_000 * MS, 5_000);
        tenure.leaseTaken(7, TTL);
        DutyStep.WriteHolder write = (DutyStep.WriteHolder) tenure.next(5_000 * MS, 5_000);
        tenure.unanswered(5_100 * MS);
        tenure.keyWritten(write.token(), 33, 5_200 * MS, 5_200);
        assertThat(tenure.isHolder(5_200 * MS, 5_200)).isTrue();
        assertThat(tenure.fence()).isEqualTo(33);
    }

    @Test
    void stepsDownWhenAnotherHolderIsSeen() {
        take(5_000 * MS, 5_000);
        tenure.keyWritten("n2@1/1", 40, 5_100 * MS, 5_100);
        assertThat(tenure.isHolder(5_100 * MS, 5_100)).isFalse();
    }

    @Test
    void ownOlderKeyDoesNotEndANewTenure() {
        take(5_000 * MS, 5_000);
        tenure.keyMissing(19, 5_050 * MS);
        assertThat(tenure.isHolder(5_100 * MS, 5_100)).isTrue();
    }

    @Test
    void fencedOutHolderStopsAtOnce() {
        take(5_000 * MS, 5_000);
        tenure.fencedOut(5_100 * MS);
        assertThat(tenure.isHolder(5_100 * MS, 5_100)).isFalse();
    }

    @Test
    void stoppingNodeTakesNothing() {
        assertThat(tenure.release(0).isEmpty()).isTrue();
        tenure.keyMissing(1, 0);
        assertThat(tenure.next(5_000 * MS, 5_000)).isInstanceOf(DutyStep.Wait.class);
    }
}
