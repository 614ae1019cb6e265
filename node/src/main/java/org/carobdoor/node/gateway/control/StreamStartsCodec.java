package org.carobdoor.node.gateway.control;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.resume.StoredStarts;
import org.carobdoor.internal.resume.StreamStart;

/**
 * The form of a node's started streams in the store: {@code {"version":1,"mixed":[service, ...],
 * "starts":[[id, service, version], ...]}}.
 */
final class StreamStartsCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int VERSION = 1;

    private StreamStartsCodec() {}

    static Bytes encode(StoredStarts starts) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.getFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeArrayFieldStart("mixed");
            for (String service : starts.mixedServices()) {
                json.writeString(service);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("starts");
            for (Map.Entry<String, StreamStart> e : starts.starts().entrySet()) {
                StreamStart s = e.getValue();
                String[] fields = {e.getKey(), s.service(), s.version()};
                json.writeArray(fields, 0, fields.length);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Bytes.utf8(text.toString());
    }

    /** Decodes a value; the failure has what cannot be read. */
    static Result<StoredStarts> decode(Bytes value) {
        try {
            JsonNode document = JSON.readTree(value.toUtf8());
            if (document.path("version").intValue() != VERSION) {
                return unreadable("version " + document.path("version"));
            }
            Set<String> mixed = new HashSet<>();
            document.path("mixed").forEach(s -> mixed.add(s.asText()));
            Map<String, StreamStart> starts = new HashMap<>();
            document.path("starts")
                    .forEach(
                            s ->
                                    starts.put(
                                            s.path(0).asText(),
                                            new StreamStart(
                                                    s.path(1).asText(), s.path(2).asText())));
            return Result.ok(new StoredStarts(starts, mixed));
        } catch (JsonProcessingException e) {
            return unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static Result<StoredStarts> unreadable(String detail) {
        return Result.err(FailureKind.REJECTED, "streams.decode", "store", detail);
    }
}
