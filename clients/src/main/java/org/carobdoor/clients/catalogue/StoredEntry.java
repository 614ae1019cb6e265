package org.carobdoor.clients.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;

/**
 * An entry as stored in the key-value service.
 *
 * @param name the name of the entry
 * @param revision incremented by each change; replicas keep the highest
 * @param removed whether the entry was removed; the text is then that of the previous revision
 * @param changeId the unique id of the change that created this revision
 * @param changedBy the author of the change
 * @param changedAt when the change was made, by the clock of the node that wrote it
 * @param text the entry as {@link EntryText#format} writes it
 * @param earlierChangeIds the change ids of earlier revisions, newest first, which are used to
 *     determine the outcome of a write whose response was lost
 */
public record StoredEntry(
        String name,
        long revision,
        boolean removed,
        String changeId,
        String changedBy,
        Instant changedAt,
        String text,
        List<String> earlierChangeIds) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates an entry with a copy of {@code earlierChangeIds}. */
    public StoredEntry {
        earlierChangeIds = List.copyOf(earlierChangeIds);
    }

    /** Returns whether this revision or a recorded earlier one was created by the change. */
    boolean contains(String id) {
        return changeId.equals(id) || earlierChangeIds.contains(id);
    }

    /** Encodes the entry as a value of the key-value service. */
    public Bytes encode() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("name", name).put("revision", revision).put("removed", removed);
        json.put("changeId", changeId).put("changedBy", changedBy);
        json.put("changedAt", changedAt.toString()).put("text", text);
        ArrayNode ids = json.putArray("earlierChangeIds");
        earlierChangeIds.forEach(ids::add);
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decodes a value of the key-value service; empty if it is not a valid entry. */
    public static Optional<StoredEntry> decode(Bytes value) {
        try {
            JsonNode json = MAPPER.readTree(value.toByteArray());
            List<String> ids = new ArrayList<>();
            json.path("earlierChangeIds").forEach(id -> ids.add(id.asText()));
            var entry =
                    new StoredEntry(
                            json.path("name").asText(),
                            json.path("revision").asLong(),
                            json.path("removed").asBoolean(),
                            json.path("changeId").asText(),
                            json.path("changedBy").asText(),
                            Instant.parse(json.path("changedAt").asText()),
                            json.path("text").asText(),
                            ids);
            return entry.revision > 0 && !entry.name.isEmpty()
                    ? Optional.of(entry)
                    : Optional.empty();
        } catch (IOException | DateTimeException e) {
            return Optional.empty();
        }
    }
}
