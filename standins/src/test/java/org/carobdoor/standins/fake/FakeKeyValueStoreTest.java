package org.carobdoor.standins.fake;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.junit.jupiter.api.Test;

/** Guards against simulated faults with milder effects than the failures of the real service. */
final class FakeKeyValueStoreTest {
    private static final Instant NOW = Instant.parse("2026-12-04T00:00:00Z");
    private static final Instant SOON = NOW.plusSeconds(1);

    private final FakeKeyValueStore store = FakeKeyValueStore.create(7, InstantSource.fixed(NOW));

    @Test
    void writeWithLostResponseTakesEffect() {
        store.loseNextAnswers(1);
        assertThat(kind(write("k", 0, "a"))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(read("k")).isEqualTo("a");
    }

    @Test
    void delayedWriteIsAppliedLaterUnlessTheVersionHasChanged() {
        store.delayNextWrites(2);
        assertThat(kind(write("k", 0, "late"))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(kind(write("other", 0, "late"))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(store.get("k", SOON).orElseThrow()).isEmpty();
        write("k", 0, "first").orElseThrow();
        store.applyDelayedWrites();
        assertThat(read("k")).isEqualTo("first");
        assertThat(read("other")).isEqualTo("late");
    }

    @Test
    void outageFailsReadsAndWritesWithoutEffect() {
        store.setDown(true);
        for (int i = 0; i < 20; i++) {
            assertThat(write("k", 0, "a").isOk()).isFalse();
        }
        assertThat(kind(store.get("k", SOON))).isEqualTo(FailureKind.NOT_DONE);
        store.setDown(false);
        assertThat(store.get("k", SOON).orElseThrow()).isEmpty();
        assertThat(store.calls("cas")).isEqualTo(20);
    }

    @Test
    void versionIsNotReusedAfterDeletion() {
        write("k", 0, "a").orElseThrow();
        store.delete("k", 1, SOON).orElseThrow();
        assertThat(write("k", 0, "b").orElseThrow()).isEqualTo(3);
        assertThat(kind(write("k", 1, "c"))).isEqualTo(FailureKind.CONFLICT);
    }

    private Result<Long> write(String key, long version, String value) {
        return store.compareAndSet(key, version, Bytes.utf8(value), SOON);
    }

    private String read(String key) {
        return store.get(key, SOON).orElseThrow().orElseThrow().value().toUtf8();
    }

    private static FailureKind kind(Result<?> result) {
        return ((Result.Err<?>) result).failure().kind();
    }
}
