package org.carobdoor.clients.catalogue;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.SplittableRandom;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.junit.jupiter.api.Test;

/** Guards against edits that are lost, applied twice or overwrite those of another editor. */
final class CatalogueStoreTest {
    private static final Instant NOW = Instant.parse("2026-12-04T00:00:00Z");
    private static final Instant DEADLINE = NOW.plusSeconds(5);

    private final FakeKeyValueStore keyValues =
            FakeKeyValueStore.create(3, InstantSource.fixed(NOW));
    private final CatalogueStore store =
            CatalogueStore.create(keyValues, InstantSource.fixed(NOW), new SplittableRandom(5));

    @Test
    void editOfTheCurrentRevisionIsApplied() {
        assertThat(applied(put(0, 1)).revision()).isEqualTo(1);
        StoredEntry second = applied(put(1, 2));
        assertThat(second.revision()).isEqualTo(2);
        assertThat(second.text()).contains("revision = 2");
        assertThat(store.get("drafts", DEADLINE).orElseThrow()).hasValue(second);
        assertThat(store.list(DEADLINE).orElseThrow().entries()).containsExactly(second);
    }

    @Test
    void editOfAnOlderRevisionIsAConflictWithBothVersions() {
        put(0, 1);
        put(1, 2);
        var conflict = (EditOutcome.Conflict) put(1, 4);
        assertThat(conflict.expected()).isEqualTo(1);
        assertThat(conflict.current().orElseThrow().text()).contains("class = 2");
        assertThat(conflict.proposed()).contains("class = 4");
        assertThat(put(0, 4)).isInstanceOf(EditOutcome.Conflict.class);
    }

    @Test
    void removalLeavesATombstoneWithAHigherRevision() {
        put(0, 1);
        StoredEntry removed = applied(store.remove("drafts", 1, "amira", DEADLINE));
        assertThat(removed.removed()).isTrue();
        assertThat(removed.revision()).isEqualTo(2);
        assertThat(store.remove("drafts", 2, "amira", DEADLINE))
                .isInstanceOf(EditOutcome.Conflict.class);
        assertThat(applied(put(0, 3)).revision()).isEqualTo(3);
    }

    @Test
    void lostResponseIsResolvedByReadingTheEntry() {
        keyValues.loseNextAnswers(1);
        assertThat(applied(put(0, 1)).revision()).isEqualTo(1);
        assertThat(store.history("drafts", DEADLINE).orElseThrow()).hasSize(1);
    }

    @Test
    void delayedWriteIsRetriedAndHasNoLaterEffect() {
        keyValues.delayNextWrites(1);
        assertThat(applied(put(0, 1)).revision()).isEqualTo(1);
        applied(put(1, 2));
        keyValues.applyDelayedWrites();
        assertThat(store.get("drafts", DEADLINE).orElseThrow().orElseThrow().revision())
                .isEqualTo(2);
    }

    @Test
    void unresolvedWriteIsReportedAsUnknown() {
        keyValues.delayNextWrites(100);
        var failed = (EditOutcome.Failed) put(0, 1);
        assertThat(failed.failure().kind()).isEqualTo(FailureKind.UNKNOWN);
    }

    @Test
    void outageFailsTheEditWithoutEffect() {
        keyValues.setDown(true);
        var failed = (EditOutcome.Failed) put(0, 1);
        assertThat(failed.failure().kind()).isEqualTo(FailureKind.NOT_DONE);
        keyValues.setDown(false);
        assertThat(store.get("drafts", DEADLINE).orElseThrow()).isEmpty();
    }

    @Test
    void historyHasEachChangeAndKeepsTheLastFifty() {
        for (int i = 0; i < 53; i++) {
            applied(put(i, 1 + i % 4));
        }
        var history = store.history("drafts", DEADLINE).orElseThrow();
        assertThat(history).hasSize(50);
        assertThat(history.getFirst().revision()).isEqualTo(4);
        assertThat(history.getLast().changedBy()).isEqualTo("amira");
        assertThat(history.getLast().digest()).hasLength(64);
    }

    @Test
    void changeWhoseHistoryWasNotWrittenIsAddedByTheNextEdit() {
        put(0, 1);
        long version = keyValues.state().get("catalogue/history/drafts").orElseThrow().version();
        // Simulates an editor that stopped before writing the history.
        keyValues.state().delete("catalogue/history/drafts", version);
        assertThat(store.history("drafts", DEADLINE).orElseThrow()).hasSize(1);
        put(1, 2);
        assertThat(store.history("drafts", DEADLINE).orElseThrow()).hasSize(2);
    }

    @Test
    void invalidTextAndWrongNameAreNotWritten() {
        assertThat(store.put("drafts", 0, "kind = 1", "amira", DEADLINE))
                .isInstanceOf(EditOutcome.Invalid.class);
        assertThat(store.put("other", 0, text(1), "amira", DEADLINE))
                .isInstanceOf(EditOutcome.Invalid.class);
        assertThat(keyValues.calls("cas")).isEqualTo(0);
    }

    @Test
    void unreadableValueDoesNotHideOtherEntries() {
        put(0, 1);
        keyValues.state().compareAndSet("catalogue/entries/x", 0, Bytes.utf8("not an entry"));
        CatalogueList list = store.list(DEADLINE).orElseThrow();
        assertThat(list.entries()).hasSize(1);
        assertThat(list.unreadableKeys()).containsExactly("catalogue/entries/x");
    }

    private EditOutcome put(long expected, int priority) {
        return store.put("drafts", expected, text(priority), "amira", DEADLINE);
    }

    private static StoredEntry applied(EditOutcome outcome) {
        return ((EditOutcome.Applied) outcome).entry();
    }

    static String text(int priority) {
        return """
        name = "drafts"
        owner = "hay"
        kind = "model"
        models = ["large"]
        class = %d
        """
                .formatted(priority);
    }
}
