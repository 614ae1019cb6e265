package org.carobdoor.node.gateway.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.RecordedUsage;

/**
 * Encodes and decodes the usage counts in the store: a JSON document with a version, in the last
 * line.
 *
 * <p>Before it come the same counts in the form of {@link UsageText}, for nodes of an earlier
 * release that take over the duties during a rolling update; they skip the document. A value
 * without a document was written by such a node.
 */
final class UsageRecord {
    private static final int VERSION = 2;
    private static final String VERSION_FIELD = "version";
    private static final String WINDOWS_FIELD = "windows";

    /** The era of the store in which the record was written; absent in era 0. */
    private static final String ERA_FIELD = "era";

    /**
     * Escapes make a lone surrogate in a name survive, which UTF-8 cannot encode. Names are values
     * in the document, since such a name is not allowed as that of a field.
     */
    private static final ObjectMapper JSON =
            new ObjectMapper(
                    JsonFactory.builder()
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .enable(JsonWriteFeature.ESCAPE_NON_ASCII)
                            .build());

    private UsageRecord() {}

    /** Encodes reported counts, by window and client account, for a store that states no era. */
    static Bytes encode(Map<Long, Map<String, Long>> windows) {
        return encode(windows, 0);
    }

    /** Encodes reported counts, by window and client account, for a store in {@code era}. */
    static Bytes encode(Map<Long, Map<String, Long>> windows, long era) {
        ObjectNode document = document();
        if (era > 0) {
            document.put(ERA_FIELD, era);
        }
        ObjectNode byWindow = document.putObject(WINDOWS_FIELD);
        new TreeMap<>(windows)
                .forEach((window, counts) -> put(byWindow, Long.toString(window), counts));
        return Bytes.utf8(UsageText.encode(windows) + write(document));
    }

    /** Encodes counts that are not reported yet, by window, run of a node, and client account. */
    static Bytes encodeUnreported(Map<Long, Map<String, Map<String, Long>>> windows) {
        ObjectNode document = document();
        ObjectNode byWindow = document.putObject(WINDOWS_FIELD);
        windows.forEach(
                (window, runs) -> {
                    ObjectNode byRun = byWindow.putObject(Long.toString(window));
                    runs.forEach((run, counts) -> put(byRun, run, counts));
                });
        return Bytes.utf8(UsageText.encodeUnreported(windows) + write(document));
    }

    /**
     * Decodes reported counts. The failure names what cannot be read; the caller must not take the
     * windows for unreported then.
     */
    static Result<RecordedUsage> decode(Bytes value) {
        Optional<String> json = documentLine(value);
        if (json.isEmpty()) {
            return Result.ok(UsageText.decode(value.toUtf8()));
        }
        try {
            JsonNode document = JSON.readTree(json.get());
            Map<Long, Map<String, Long>> windows = new HashMap<>();
            for (Map.Entry<String, JsonNode> w : windows(document).properties()) {
                windows.put(Long.parseLong(w.getKey()), counts(w.getValue()));
            }
            return Result.ok(RecordedUsage.of(windows, document.path(ERA_FIELD).asLong(0)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return unreadable(e);
        }
    }

    /** Decodes counts that are not reported yet. */
    static Result<ClusterUsage> decodeUnreported(Bytes value) {
        ClusterUsage usage = ClusterUsage.create();
        Optional<String> json = documentLine(value);
        if (json.isEmpty()) {
            UsageText.decodeUnreported(value.toUtf8(), usage);
            return Result.ok(usage);
        }
        try {
            for (Map.Entry<String, JsonNode> w : windows(JSON.readTree(json.get())).properties()) {
                for (Map.Entry<String, JsonNode> run : w.getValue().properties()) {
                    long window = Long.parseLong(w.getKey());
                    usage.report(run.getKey(), window, counts(run.getValue()));
                }
            }
            return Result.ok(usage);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return unreadable(e);
        }
    }

    private static <T> Result<T> unreadable(Exception e) {
        return Result.err(
                FailureKind.REJECTED, "usage.decode", "store", String.valueOf(e.getMessage()));
    }

    /** Returns the last line if it is a document; an account's name cannot begin one. */
    private static Optional<String> documentLine(Bytes value) {
        String text = value.toUtf8();
        String last = text.substring(text.lastIndexOf('\n') + 1);
        return last.startsWith("{") ? Optional.of(last) : Optional.empty();
    }

    private static ObjectNode document() {
        return JsonNodeFactory.instance.objectNode().put(VERSION_FIELD, VERSION);
    }

    private static void put(ObjectNode parent, String name, Map<String, Long> counts) {
        ArrayNode byAccount = parent.putArray(name);
        new TreeMap<>(counts).forEach((account, n) -> byAccount.addArray().add(account).add(n));
    }

    private static String write(ObjectNode document) {
        try {
            return JSON.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode windows(JsonNode document) {
        if (document.path(VERSION_FIELD).intValue() != VERSION) {
            throw new IllegalArgumentException(
                    "version " + document.path(VERSION_FIELD) + " is not " + VERSION);
        }
        JsonNode windows = document.path(WINDOWS_FIELD);
        if (!windows.isObject()) {
            throw new IllegalArgumentException("\"" + WINDOWS_FIELD + "\" is not an object");
        }
        return windows;
    }

    private static Map<String, Long> counts(JsonNode byAccount) {
        if (!byAccount.isArray()) {
            throw new IllegalArgumentException("counts are not a list: " + byAccount);
        }
        Map<String, Long> counts = new HashMap<>();
        for (JsonNode pair : byAccount) {
            JsonNode account = pair.path(0);
            JsonNode n = pair.path(1);
            if (!account.isTextual() || !n.isIntegralNumber() || !n.canConvertToLong()) {
                throw new IllegalArgumentException("not an account and its count: " + pair);
            }
            if (counts.put(account.textValue(), n.longValue()) != null) {
                throw new IllegalArgumentException("two counts of one account: " + pair);
            }
        }
        return counts;
    }
}
