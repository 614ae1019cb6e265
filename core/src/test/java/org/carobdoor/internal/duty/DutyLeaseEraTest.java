package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.carobdoor.internal.store.StoreRevision;
import org.junit.jupiter.api.Test;

/** Guards against holders and fencing tokens of an era that the store has lost. */
final class DutyLeaseEraTest {
    private static final long MS = 1_000_000L;
    private static final long TTL = 3_000;

    private final DutyLease first = DutyLease.create("n1@1", new Random(1));
    private final DutyLease second = DutyLease.create("n2@1", new Random(2));

    /** Lets a node take free duties and returns whether it has got them within {@code millis}. */
    private static boolean take(DutyLease node, long fromMillis, long millis, long revision) {
        for (long t = fromMillis; t < fromMillis + millis; t += 50) {
            if (node.next(t * MS, t) instanceof DutyStep.TakeLease) {
                node.leaseTaken(7, TTL);
                DutyStep.WriteHolder write = (DutyStep.WriteHolder) node.next(t * MS, t);
                assertThat(write.lease()).isEqualTo(7);
                node.holderWritten(revision);
                return node.isHolder(t * MS, t);
            }
        }
        return false;
    }

    private void holdInFirst(long atMillis) {
        first.keyMissing(1, 0);
        second.keyMissing(1, 0);
        assertThat(take(first, atMillis, 400, 57)).isTrue();
        second.keyWritten("n1@1/1", 57, atMillis * MS, atMillis);
    }

    @Test
    void formerHolderTakesTheDutiesAnewWithAHigherFence() {
        holdInFirst(5_000);
        first.eraBegan(1, TTL, 6_000 * MS);
        assertThat(first.isHolder(6_000 * MS, 6_000)).isFalse();
        // The copy still has the key, and revisions are lower than the former fence.
        first.keyWritten("n1@1/1", StoreRevision.of(1, 40), 6_050 * MS, 6_050);
        assertThat(first.isHolder(6_050 * MS, 6_050)).isFalse();
        assertThat(take(first, 6_100, 400, StoreRevision.of(1, 41))).isTrue();
        assertThat(first.fencingToken()).isGreaterThan(57);
    }

    @Test
    void othersWaitForAHolderThatMayNotKnowOfTheEra() {
        holdInFirst(5_000);
        second.eraBegan(1, TTL, 5_500 * MS);
        second.keyMissing(StoreRevision.of(1, 30), 5_550 * MS);
        // The first node is frozen or cut off and renews nothing.
        assertThat(take(second, 5_600, 2_800, StoreRevision.of(1, 41))).isFalse();
        assertThat(first.isHolder(8_400 * MS, 8_400)).isFalse();
        assertThat(take(second, 8_500, 400, StoreRevision.of(1, 41))).isTrue();
        // It wakes, and its renewal tells it that the lease is gone.
        assertThat(first.next(9_000 * MS, 9_000)).isInstanceOf(DutyStep.Renew.class);
        first.eraBegan(1, TTL, 9_010 * MS);
        first.refused(9_010 * MS);
        first.keyWritten("n2@1/1/era-1", StoreRevision.of(1, 41), 9_050 * MS, 9_050);
        assertThat(take(first, 9_100, 20_000, StoreRevision.of(1, 50))).isFalse();
    }

    @Test
    void keyOfAFormerEraIsReplacedOnItsRevision() {
        second.eraKnown(2);
        second.keyWritten("n1@1/4/era-1", StoreRevision.of(2, 40), 0, 0);
        assertThat(second.next(5_000 * MS, 5_000)).isInstanceOf(DutyStep.TakeLease.class);
        second.leaseTaken(9, TTL);
        assertThat(second.next(5_000 * MS, 5_000))
                .isEqualTo(new DutyStep.WriteHolder(9, "n2@1/1/era-2", StoreRevision.of(2, 40)));
    }

    @Test
    void outcomeOfAStepOfAFormerEraHasNoEffect() {
        first.keyMissing(1, 0);
        assertThat(first.next(5_000 * MS, 5_000)).isInstanceOf(DutyStep.TakeLease.class);
        first.eraBegan(1, TTL, 5_010 * MS);
        first.leaseTaken(7, TTL);
        first.keyMissing(StoreRevision.of(1, 3), 5_020 * MS);
        assertThat(first.next(5_030 * MS, 5_030)).isInstanceOf(DutyStep.Wait.class);
    }

    @Test
    void noFenceIsTakenTwiceOverManyReturnsWithinSeconds() {
        Random random = new Random(3);
        Set<Long> fences = new HashSet<>();
        long now = 1_000;
        long fence = 0;
        first.keyMissing(1, 0);
        for (long era = 0; era < 200; era++) {
            if (era > 0) {
                first.eraBegan(era, TTL, now * MS);
                first.keyMissing(StoreRevision.of(era, 10), now * MS);
            }
            // A return before the duties are taken, or after it.
            long wait = random.nextBoolean() ? 200 : 4_000;
            if (take(first, now, wait, StoreRevision.of(era, 11 + random.nextInt(3)))) {
                assertThat(first.fencingToken()).isGreaterThan(fence);
                fence = first.fencingToken();
                assertThat(fences.add(fence)).isTrue();
            }
            now += wait;
        }
        assertThat(fences.size()).isGreaterThan(50);
    }
}
