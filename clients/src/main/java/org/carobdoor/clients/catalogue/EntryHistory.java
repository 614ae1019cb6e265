package org.carobdoor.clients.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;

/** The last changes of each entry, in one value an entry. */
final class EntryHistory {
    static final String PREFIX = "catalogue/history/";
    static final int KEPT_CHANGES = 50;

    // The key-value service takes values up to 1 MB, and texts grow when they are written as JSON.
    private static final int MAX_BYTES = 900_000;

    // The key-value service is shared, so a write is not sent again for ever.
    private static final int MAX_WRITES = 10;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final KeyValueStore store;
    private final InstantSource clock;

    EntryHistory(KeyValueStore store, InstantSource clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Reads the changes of an entry, oldest first. */
    Result<List<EntryChange>> read(String name, Instant deadline) {
        return store.get(PREFIX + name, deadline).map(EntryHistory::decode);
    }

    /** Adds the change that made {@code entry}, unless it is there; tries until the deadline. */
    Result<Long> add(StoredEntry entry, Instant deadline) {
        String key = PREFIX + entry.name();
        for (int writes = 1; ; writes++) {
            Result<Optional<VersionedValue>> read = store.get(key, deadline);
            if (read instanceof Result.Err<Optional<VersionedValue>>(var failure)) {
                return Result.err(failure);
            }
            Optional<VersionedValue> value = read.orElseThrow();
            List<EntryChange> changes = decode(value);
            long version = value.map(VersionedValue::version).orElse(0L);
            if (changes.stream().anyMatch(c -> c.revision() == entry.revision())) {
                return Result.ok(version);
            }
            changes.add(EntryChange.of(entry));
            var written = store.compareAndSet(key, version, encode(changes), deadline);
            if (written.isOk()
                    || isFinal(written)
                    || writes == MAX_WRITES
                    || !clock.instant().isBefore(deadline)) {
                return written;
            }
        }
    }

    // After a conflict or a lost answer, reading again shows whether the change is there.
    private static boolean isFinal(Result<Long> written) {
        return written instanceof Result.Err<Long>(var failure)
                && failure.kind() != FailureKind.CONFLICT
                && failure.kind() != FailureKind.UNKNOWN;
    }

    private static Bytes encode(List<EntryChange> changes) {
        changes.sort(Comparator.comparingLong(EntryChange::revision));
        while (changes.size() > KEPT_CHANGES) {
            changes.removeFirst();
        }
        Bytes value = write(changes);
        while (value.size() > MAX_BYTES && changes.size() > 1) {
            changes.removeFirst();
            value = write(changes);
        }
        return value;
    }

    private static Bytes write(List<EntryChange> changes) {
        ArrayNode json = MAPPER.createArrayNode();
        for (EntryChange c : changes) {
            json.addObject()
                    .put("revision", c.revision())
                    .put("changedBy", c.changedBy())
                    .put("changedAt", c.changedAt().toString())
                    .put("removed", c.removed())
                    .put("digest", c.digest())
                    .put("text", c.text());
        }
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    // A history that cannot be read counts as empty: it is a record, not needed to serve.
    private static List<EntryChange> decode(Optional<VersionedValue> value) {
        List<EntryChange> changes = new ArrayList<>();
        if (value.isEmpty()) {
            return changes;
        }
        try {
            for (JsonNode c : MAPPER.readTree(value.get().value().toByteArray())) {
                changes.add(
                        new EntryChange(
                                c.path("revision").asLong(),
                                c.path("changedBy").asText(),
                                Instant.parse(c.path("changedAt").asText()),
                                c.path("removed").asBoolean(),
                                c.path("digest").asText(),
                                c.path("text").asText()));
            }
        } catch (IOException | DateTimeException e) {
            changes.clear();
        }
        return changes;
    }
}
