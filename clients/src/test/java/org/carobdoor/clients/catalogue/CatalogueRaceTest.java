package org.carobdoor.clients.catalogue;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.carobdoor.FailureKind;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.junit.jupiter.api.Test;

/**
 * Guards against concurrent edits that are lost, applied twice or reported with a wrong outcome.
 */
final class CatalogueRaceTest {
    private static final Instant NOW = Instant.parse("2026-12-04T00:00:00Z");
    private static final Instant DEADLINE = NOW.plusSeconds(5);
    private static final int EDITS = 40;

    private final Map<String, EditOutcome> outcomes = new HashMap<>();

    @Test
    void interleavedEditorsWithLostAndDelayedWritesLoseNoEdit() {
        for (long seed = 1; seed <= 300; seed++) {
            outcomes.clear();
            interleave(seed);
        }
    }

    @Test
    void concurrentEditorsLoseNoEdit() throws Exception {
        var keyValues = FakeKeyValueStore.create(9, InstantSource.fixed(NOW));
        keyValues.setLossProbability(0.3);
        var threads = new java.util.ArrayList<Thread>();
        for (int t = 0; t < 2; t++) {
            int editor = t;
            var store = storeOf(keyValues, 100 + t);
            threads.add(
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = 0; i < EDITS / 2; i++) {
                                    edit(store, "editor-" + editor + "-" + i, 1 + i % 4);
                                }
                            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        keyValues.setLossProbability(0);
        check(keyValues, "threads");
    }

    private void interleave(long seed) {
        var random = new SplittableRandom(seed);
        var keyValues = FakeKeyValueStore.create(seed, InstantSource.fixed(NOW));
        keyValues.setLossProbability(0.2);
        var second = storeOf(keyValues, seed + 2);
        var counter = new int[1];
        Runnable other = () -> edit(second, "second-" + counter[0]++, 2);
        var first = storeOf(new InterleavingKeyValueStore(keyValues, random, other), seed + 1);
        for (int i = 0; i < EDITS / 2 && counter[0] < EDITS / 2; i++) {
            if (random.nextInt(4) == 0) {
                keyValues.delayNextWrites(random.nextInt(3));
            }
            edit(first, "first-" + i, 1);
            if (random.nextInt(4) == 0) {
                keyValues.applyDelayedWrites();
            }
        }
        keyValues.delayNextWrites(0);
        keyValues.setLossProbability(0);
        keyValues.applyDelayedWrites();
        check(keyValues, "seed " + seed);
    }

    private static CatalogueStore storeOf(org.carobdoor.KeyValueStore keyValues, long seed) {
        return CatalogueStore.create(
                keyValues, InstantSource.fixed(NOW), new SplittableRandom(seed));
    }

    private void edit(CatalogueStore store, String editor, int priority) {
        long seen =
                store.get("drafts", DEADLINE)
                        .map(e -> e.map(StoredEntry::revision).orElse(0L))
                        .orElseThrow();
        var outcome =
                store.put("drafts", seen, CatalogueStoreTest.text(priority), editor, DEADLINE);
        synchronized (outcomes) {
            outcomes.put(editor, outcome);
        }
    }

    private void check(FakeKeyValueStore keyValues, String run) {
        List<EntryChange> history = storeOf(keyValues, 0).history("drafts", DEADLINE).orElseThrow();
        for (int i = 0; i < history.size(); i++) {
            assertWithMessage(run).that(history.get(i).revision()).isEqualTo(i + 1);
        }
        List<String> editors = history.stream().map(EntryChange::changedBy).toList();
        assertWithMessage(run).that(editors).containsNoDuplicates();
        outcomes.forEach(
                (editor, outcome) -> {
                    var message = assertWithMessage("%s: %s got %s", run, editor, outcome);
                    if (outcome instanceof EditOutcome.Applied) {
                        message.that(editors).contains(editor);
                    } else if (!isUnknown(outcome)) {
                        message.that(editors).doesNotContain(editor);
                    }
                });
        assertWithMessage(run).that(editors.size()).isAtLeast(2);
    }

    private static boolean isUnknown(EditOutcome outcome) {
        return outcome instanceof EditOutcome.Failed(var failure)
                && failure.kind() == FailureKind.UNKNOWN;
    }
}
