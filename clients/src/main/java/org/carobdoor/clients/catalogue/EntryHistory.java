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

/** Stores the latest changes of each entry, in one value per entry. */
final class EntryHistory {
    static final String PREFIX = "catalogue/history/";
    static final int MAX_CHANGES = 50;

    // The key-value service accepts values of up to 1 MB. The limit applies to the encoded JSON,
    // which is larger than the texts.
    private static final int MAX_VALUE_BYTES = 900_000;

    // Limits the load of repeated writes on the shared key-value service.
    private static final int MAX_WRITE_ATTEMPTS = 10;
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

    /**
     * Adds the change that created {@code entry} unless the history has it. Retries until the
     * deadline or {@link #MAX_WRITE_ATTEMPTS}.
     */
    Result<Long> add(StoredEntry entry, Instant deadline) {
        String key = PREFIX + entry.name();
        for (int attempt = 1; ; attempt++) {
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
                    || isFinalFailure(written)
                    || attempt == MAX_WRITE_ATTEMPTS
                    || !clock.instant().isBefore(deadline)) {
                return written;
            }
        }
    }

    // After a conflict or a lost response, reading again shows whether the change was written.
    private static boolean isFinalFailure(Result<Long> written) {
        return written instanceof Result.Err<Long>(var failure)
                && failure.kind() != FailureKind.CONFLICT
                && failure.kind() != FailureKind.UNKNOWN;
    }

    private static Bytes encode(List<EntryChange> changes) {
        changes.sort(Comparator.comparingLong(EntryChange::revision));
        while (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
        Bytes value = write(changes);
        while (value.size() > MAX_VALUE_BYTES && changes.size() > 1) {
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

    // An unreadable history is treated as empty, because it is not needed to serve requests.
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
