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
 * Reads and edits the catalogue in the key-value service.
 *
 * <p>Each entry is one value, which is changed by compare-and-set. If two editors start from the
 * same revision, one of them gets a conflict. A removed entry remains as a tombstone with a higher
 * revision. If the response to a write is lost, the store reads the entry again and looks for the
 * unique id of the change to determine the outcome.
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
    /** The key prefix of entries. */
    public static final String ENTRY_PREFIX = "catalogue/entries/";

    // The outcome of an edit is determined within its deadline of seconds. Manual edits do not
    // change an entry more often than this in that period.
    private static final int MAX_EARLIER_CHANGE_IDS = 16;

    // Limits the load on the shared key-value service when writes get no response.
    private static final int MAX_WRITE_ATTEMPTS = 5;

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

    /**
     * Creates a store; {@code random} must not repeat values, because change ids must be unique.
     */
    public static CatalogueStore create(
            KeyValueStore store, InstantSource clock, RandomGenerator random) {
        return new CatalogueStore(store, clock, random);
    }

    /** An entry that was read, with the version of its key. */
    private record ReadEntry(long version, Optional<StoredEntry> entry) {
        long revision() {
            return entry.map(StoredEntry::revision).orElse(0L);
        }

        /**
         * Returns whether the entry has the expected revision. A removed entry also matches
         * revision 0, so that it can be created again.
         */
        boolean hasRevision(long expected) {
            return revision() == expected
                    || (expected == 0 && entry.map(StoredEntry::removed).orElse(true));
        }
    }

    /**
     * Creates or changes an entry.
     *
     * @param expectedRevision the revision that the edit is based on; 0 to create the entry
     * @param text the new text; its key {@code revision} is ignored
     * @param changedBy the author of the change
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

    /** Replaces an entry with a tombstone. */
    public EditOutcome remove(
            String name, long expectedRevision, String changedBy, Instant deadline) {
        return edit(name, expectedRevision, Optional.empty(), changedBy, deadline);
    }

    /** Reads an entry, which may be a removed one; empty if it never existed. */
    public Result<Optional<StoredEntry>> get(String name, Instant deadline) {
        return read(name, deadline).map(ReadEntry::entry);
    }

    /** Reads all entries, including removed ones. */
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

    /** Reads the latest changes of an entry, oldest first. */
    public Result<List<EntryChange>> history(String name, Instant deadline) {
        return read(name, deadline)
                .flatMap(read -> history.read(name, deadline).map(c -> withLatest(c, read)));
    }

    // The history lacks the latest change if its writer stopped after writing the entry.
    private static List<EntryChange> withLatest(List<EntryChange> changes, ReadEntry read) {
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
        Result<ReadEntry> result = read(name, deadline);
        if (result instanceof Result.Err<ReadEntry>(var failure)) {
            return new EditOutcome.Failed(failure);
        }
        ReadEntry before = result.orElseThrow();
        boolean alreadyRemoved =
                proposed.isEmpty() && before.entry().map(StoredEntry::removed).orElse(true);
        if (!before.hasRevision(expected) || alreadyRemoved) {
            return conflict(expected, before, proposed);
        }
        // The previous change is added to the history first, because its writer may have stopped
        // after writing the entry and before writing the history.
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
        StoredEntry next = nextRevision(name, before, proposed, changedBy);
        EditOutcome outcome = write(before, next, expected, proposed, deadline);
        if (outcome instanceof EditOutcome.Applied) {
            // On failure, the next edit adds the change to the history, and readers merge it.
            var unused = history.add(next, deadline);
        }
        return outcome;
    }

    private StoredEntry nextRevision(
            String name, ReadEntry before, Optional<CatalogueEntry> proposed, String changedBy) {
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
                ids.subList(0, Math.min(ids.size(), MAX_EARLIER_CHANGE_IDS)));
    }

    private EditOutcome write(
            ReadEntry before,
            StoredEntry next,
            long expected,
            Optional<CatalogueEntry> proposed,
            Instant deadline) {
        String key = ENTRY_PREFIX + next.name();
        Bytes value = next.encode();
        boolean mayBeWritten = false;
        for (int attempt = 1; ; attempt++) {
            Result<Long> written = store.compareAndSet(key, before.version(), value, deadline);
            if (!(written instanceof Result.Err<Long>(var failure))) {
                return new EditOutcome.Applied(next);
            }
            boolean unknown = failure.kind() == FailureKind.UNKNOWN;
            mayBeWritten |= unknown;
            if (!unknown && failure.kind() != FailureKind.CONFLICT) {
                return new EditOutcome.Failed(mayBeWritten ? withUnknownEffect(failure) : failure);
            }
            Result<ReadEntry> result = read(next.name(), deadline);
            if (result instanceof Result.Err<ReadEntry>(var readFailure)) {
                return new EditOutcome.Failed(
                        mayBeWritten ? withUnknownEffect(readFailure) : failure);
            }
            ReadEntry now = result.orElseThrow();
            if (now.entry().map(e -> e.contains(next.changeId())).orElse(false)) {
                return new EditOutcome.Applied(next);
            }
            if (now.version() != before.version()) {
                return supersededOutcome(before, now, expected, proposed, mayBeWritten);
            }
            // The version is unchanged, so the same write can be sent again: at most one of the
            // copies can take effect.
            if (attempt == MAX_WRITE_ATTEMPTS || !clock.instant().isBefore(deadline)) {
                return new EditOutcome.Failed(withUnknownEffect(failure));
            }
        }
    }

    private EditOutcome supersededOutcome(
            ReadEntry before,
            ReadEntry now,
            long expected,
            Optional<CatalogueEntry> proposed,
            boolean mayBeWritten) {
        Preconditions.checkInvariant(
                now.revision() > before.revision(), "revision of an entry decreased");
        boolean idDropped = now.revision() - before.revision() > MAX_EARLIER_CHANGE_IDS;
        return mayBeWritten && idDropped
                ? new EditOutcome.Failed(
                        new Failure(
                                FailureKind.UNKNOWN,
                                "catalogue.resolve",
                                "local",
                                "too many later edits; see the history of the entry"))
                : conflict(expected, now, proposed);
    }

    private static EditOutcome conflict(
            long expected, ReadEntry now, Optional<CatalogueEntry> proposed) {
        return new EditOutcome.Conflict(expected, now.entry(), text(proposed));
    }

    private static String text(Optional<CatalogueEntry> proposed) {
        return proposed.map(EntryText::format).orElse("");
    }

    private static Failure withUnknownEffect(Failure failure) {
        return new Failure(
                FailureKind.UNKNOWN,
                failure.step(),
                failure.peer(),
                failure.detail() + "; the edit may have been written or may still be written");
    }

    private Result<ReadEntry> read(String name, Instant deadline) {
        return store.get(ENTRY_PREFIX + name, deadline)
                .flatMap(
                        value -> {
                            if (value.isEmpty()) {
                                return Result.ok(new ReadEntry(0, Optional.empty()));
                            }
                            var entry = StoredEntry.decode(value.get().value());
                            return entry.isPresent()
                                    ? Result.ok(new ReadEntry(value.get().version(), entry))
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
