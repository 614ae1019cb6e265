package org.carobdoor.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes the JSON of the stand-ins. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns an array of strings. */
    public static ArrayNode strings(Iterable<String> values) {
        ArrayNode array = MAPPER.createArrayNode();
        values.forEach(array::add);
        return array;
    }

    /** Reads the JSON object in the body of a request; an empty body counts as an empty object. */
    public static JsonNode body(Context context) throws IOException {
        byte[] bytes = context.body().bytes();
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }

    /** Returns the strings of an array, or an empty list if {@code node} is not an array. */
    public static List<String> texts(JsonNode node) {
        List<String> texts = new ArrayList<>();
        node.forEach(n -> texts.add(n.asText()));
        return List.copyOf(texts);
    }

    /** Writes {@code node} as one line. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
