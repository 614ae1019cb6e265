package org.carobdoor.internal.directory;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a list of endpoints that counts as current because its old news were just read.
 */
final class DirectoryFreshnessTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long MAX_AGE_MILLIS = 1_600;

    private final DirectoryFreshness freshness =
            DirectoryFreshness.create(MAX_AGE_MILLIS * MILLI, 0);

    @Test
    void newsReadLateAreAsOldAsTheAnswerThatTheyRestOn() {
        freshness.recordProof(1_000 * MILLI);
        assertThat(freshness.isStale(2_000 * MILLI)).isFalse();
        assertThat(freshness.isStale(3_000 * MILLI)).isTrue();
        assertThat(freshness.ageMillis(3_000 * MILLI)).isEqualTo(2_000);
    }

    @Test
    void olderNewsThatAreReadLastDoNotMakeTheListOlder() {
        freshness.recordProof(3_000 * MILLI);
        freshness.recordProof(1_000 * MILLI);
        assertThat(freshness.ageMillis(3_500 * MILLI)).isEqualTo(500);
        assertThat(freshness.isStale(3_500 * MILLI)).isFalse();
    }

    @Test
    void failedCallMakesTheListStaleUntilTheNextProof() {
        freshness.recordProof(1_000 * MILLI);
        freshness.recordFailure(1_050 * MILLI);
        assertThat(freshness.isStale(1_100 * MILLI)).isTrue();
        freshness.recordProof(1_200 * MILLI);
        assertThat(freshness.isStale(1_300 * MILLI)).isFalse();
    }

    @Test
    void storeIsNotLostByTheFirstFailedCall() {
        freshness.recordProof(1_000 * MILLI);
        freshness.recordFailure(1_050 * MILLI);
        freshness.recordFailure(1_500 * MILLI);
        assertThat(freshness.isStoreLost(1_500 * MILLI)).isFalse();
        assertThat(freshness.isStoreLost(1_600 * MILLI)).isTrue();
        freshness.recordProof(1_600 * MILLI);
        assertThat(freshness.isStoreLost(1_700 * MILLI)).isFalse();
        assertThat(freshness.isStoreLost(3_300 * MILLI)).isTrue();
    }
}
