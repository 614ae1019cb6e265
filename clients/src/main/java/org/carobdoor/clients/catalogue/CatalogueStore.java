package org.carobdoor.clients.catalogue;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/**
 * Edits the catalogue in the key-value service.
 *
 * <p>Each entry is one value and is changed by compare-and-swap, so of two editors that started
 * from the same revision one gets a conflict. A removed entry stays as a tombstone with a higher
 * revision. An edit whose answer is lost is resolved by reading the entry back and looking for the
 * unique id of the change.
 *
 * <pre>{@code
 * var store = CatalogueStore.create(keyValues, clock, random);
 * switch (store.put("bids", 3, text, "amira", deadline)) {
 *     case EditOutcome.Applied(var entry) -> ...
 *     case EditOutcome.Conflict conflict -> ...
 *     case EditOutcome.Invalid(var problems) -> ...
 *     case EditOutcome.Failed(var failure) -> ...
 * }
 * }</pre>
 */
public final class CatalogueStore {
    /** The prefix of the keys of entries. */
    public static final String ENTRY_PREFIX = "catalogue/entries/";

    // An edit is resolved within its deadline of seconds; this many edits of one entry in that
    // time do not occur with people at the keyboard.
    private static final int KEPT_CHANGE_IDS = 16;

    // The key-value service is shared, so a write without an answer is not sent again for ever.
    private static final int MAX_WRITES = 5;

    private final KeyValueStore store;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final EntryHistory history;

    private CatalogueStore(KeyValueStore store, InstantSource clock, RandomGenerator random) {
        this.store = store;
        this.clock = clock;
        this.random = random;
        this.history = new EntryHistory(store, clock);
    }

    /** Makes a store; {@code random} must not repeat, or changes could be mistaken for others. */
    public static CatalogueStore create(
            KeyValueStore store, InstantSource clock, RandomGenerator random) {
        return new CatalogueStore(store, clock, random);
    }

    /** An entry as it was read, with the version of its key. */
    private record Read(long version, Optional<StoredEntry> entry) {
        long revision() {
            return entry.map(StoredEntry::revision).orElse(0L);
        }

        /** An entry that was removed can be made anew as if it had never been there. */
        boolean hasRevision(long expected) {
            return revision() == expected
                    || (expected == 0 && entry.map(StoredEntry::removed).orElse(true));
        }
    }

    /**
     * Creates or changes an entry.
     *
     * @param expectedRevision the revision that the editor has seen; 0 to create
     * @param text the new text; its key {@code revision} is ignored
     * @param changedBy who makes the change
     */
    public EditOutcome put(
            String name, long expectedRevision, String text, String changedBy, Instant deadline) {
        return switch (EntryText.parse(text)) {
            case ParsedEntry.Invalid(var problems) -> new EditOutcome.Invalid(problems);
            case ParsedEntry.Valid(var entry) when !entry.name().equals(name) ->
                    new EditOutcome.Invalid(
                            List.of(
                                    new EntryProblem(
                                            "name",
                                            "expected \"" + name + "\", the name of the entry",
                                            "entry-name")));
            case ParsedEntry.Valid(var entry) ->
                    edit(name, expectedRevision, Optional.of(entry), changedBy, deadline);
        };
    }

    /** Removes an entry, leaving a tombstone. */
    public EditOutcome remove(
            String name, long expectedRevision, String changedBy, Instant deadline) {
        return edit(name, expectedRevision, Optional.empty(), changedBy, deadline);
    }

    /** Reads one entry, also a removed one; empty if it never existed. */
    public Result<Optional<StoredEntry>> show(String name, Instant deadline) {
        return read(name, deadline).map(Read::entry);
    }

    /** Reads all entries, removed ones included. */
    public Result<CatalogueList> list(Instant deadline) {
        return store.list(ENTRY_PREFIX, deadline)
                .map(
                        list -> {
                            List<StoredEntry> entries = new ArrayList<>();
                            List<String> unreadable = new ArrayList<>();
                            for (VersionedValue value : list.values()) {
                                StoredEntry.decode(value.value())
                                        .ifPresentOrElse(
                                                entries::add, () -> unreadable.add(value.key()));
                            }
                            return new CatalogueList(list.revision(), entries, unreadable);
                        });
    }

    /** Reads the last changes of an entry, oldest first. */
    public Result<List<EntryChange>> history(String name, Instant deadline) {
        return read(name, deadline)
                .flatMap(read -> history.read(name, deadline).map(c -> withLatest(c, read)));
    }

    // The last change can be missing: its writer may have stopped between the two writes.
    private static List<EntryChange> withLatest(List<EntryChange> changes, Read read) {
        read.entry()
                .filter(e -> changes.stream().noneMatch(c -> c.revision() == e.revision()))
                .ifPresent(e -> changes.add(EntryChange.of(e)));
        return List.copyOf(changes);
    }

    private EditOutcome edit(
            String name,
            long expected,
            Optional<CatalogueEntry> proposed,
            String changedBy,
            Instant deadline) {
        Result<Read> result = read(name, deadline);
        if (result instanceof Result.Err<Read>(var failure)) {
            return new EditOutcome.Failed(failure);
        }
        Read before = result.orElseThrow();
        boolean removesNothing =
                proposed.isEmpty() && before.entry().map(StoredEntry::removed).orElse(true);
        if (!before.hasRevision(expected) || removesNothing) {
            return conflict(expected, before, proposed);
        }
        // The change before this one must be in the history first, so that no change is missed
        // when its writer stopped between the two writes.
        if (before.entry().isPresent()
                && history.add(before.entry().get(), deadline)
                        instanceof Result.Err<Long>(var failure)) {
            return new EditOutcome.Failed(
                    new Failure(
                            FailureKind.NOT_DONE,
                            failure.step(),
                            failure.peer(),
                            failure.detail()));
        }
        StoredEntry next = next(name, before, proposed, changedBy);
        EditOutcome outcome = write(before, next, expected, proposed, deadline);
        if (outcome instanceof EditOutcome.Applied) {
            // If this fails, the next edit or reader adds the change.
            var unused = history.add(next, deadline);
        }
        return outcome;
    }

    private StoredEntry next(
            String name, Read before, Optional<CatalogueEntry> proposed, String changedBy) {
        long revision = before.revision() + 1;
        List<String> ids = new ArrayList<>();
        before.entry()
                .ifPresent(
                        e -> {
                            ids.add(e.changeId());
                            ids.addAll(e.earlierChangeIds());
                        });
        String text =
                proposed.map(e -> EntryText.format(EntryText.withRevision(e, revision)))
                        .orElseGet(() -> before.entry().map(StoredEntry::text).orElse(""));
        return new StoredEntry(
                name,
                revision,
                proposed.isEmpty(),
                "%016x%016x".formatted(random.nextLong(), random.nextLong()),
                changedBy,
                clock.instant(),
                text,
                ids.subList(0, Math.min(ids.size(), KEPT_CHANGE_IDS)));
    }

    private EditOutcome write(
            Read before,
            StoredEntry next,
            long expected,
            Optional<CatalogueEntry> proposed,
            Instant deadline) {
        String key = ENTRY_PREFIX + next.name();
        Bytes value = next.encode();
        boolean mayBeWritten = false;
        for (int writes = 1; ; writes++) {
            Result<Long> written = store.compareAndSet(key, before.version(), value, deadline);
            if (!(written instanceof Result.Err<Long>(var failure))) {
                return new EditOutcome.Applied(next);
            }
            boolean unknown = failure.kind() == FailureKind.UNKNOWN;
            mayBeWritten |= unknown;
            if (!unknown && failure.kind() != FailureKind.CONFLICT) {
                return new EditOutcome.Failed(mayBeWritten ? unresolved(failure) : failure);
            }
            Result<Read> result = read(next.name(), deadline);
            if (result instanceof Result.Err<Read>(var readFailure)) {
                return new EditOutcome.Failed(mayBeWritten ? unresolved(readFailure) : failure);
            }
            Read now = result.orElseThrow();
            if (now.entry().map(e -> e.contains(next.changeId())).orElse(false)) {
                return new EditOutcome.Applied(next);
            }
            if (now.version() != before.version()) {
                return superseded(before, now, expected, proposed, mayBeWritten);
            }
            // The version is unchanged, so the identical write can be sent again: the first or the
            // second copy can take effect, but never both.
            if (writes == MAX_WRITES || !clock.instant().isBefore(deadline)) {
                return new EditOutcome.Failed(unresolved(failure));
            }
        }
    }

    private EditOutcome superseded(
            Read before,
            Read now,
            long expected,
            Optional<CatalogueEntry> proposed,
            boolean mayBeWritten) {
        Preconditions.checkInvariant(
                now.revision() > before.revision(), "the revision of an entry went back");
        boolean idForgotten = now.revision() - before.revision() > KEPT_CHANGE_IDS;
        return mayBeWritten && idForgotten
                ? new EditOutcome.Failed(
                        new Failure(
                                FailureKind.UNKNOWN,
                                "catalogue.resolve",
                                "local",
                                "too many later edits; see the history of the entry"))
                : conflict(expected, now, proposed);
    }

    private static EditOutcome conflict(
            long expected, Read now, Optional<CatalogueEntry> proposed) {
        return new EditOutcome.Conflict(expected, now.entry(), text(proposed));
    }

    private static String text(Optional<CatalogueEntry> proposed) {
        return proposed.map(EntryText::format).orElse("");
    }

    private static Failure unresolved(Failure failure) {
        return new Failure(
                FailureKind.UNKNOWN,
                failure.step(),
                failure.peer(),
                failure.detail() + "; the edit may have been written or may still be written");
    }

    private Result<Read> read(String name, Instant deadline) {
        return store.get(ENTRY_PREFIX + name, deadline)
                .flatMap(
                        value -> {
                            if (value.isEmpty()) {
                                return Result.ok(new Read(0, Optional.empty()));
                            }
                            var entry = StoredEntry.decode(value.get().value());
                            return entry.isPresent()
                                    ? Result.ok(new Read(value.get().version(), entry))
                                    : Result.err(
                                            FailureKind.REJECTED,
                                            "catalogue.read",
                                            "local",
                                            value.get().key()
                                                    + " is not an entry; see"
                                                    + " docs/TROUBLESHOOTING.md#entry-unreadable");
                        });
    }
}
