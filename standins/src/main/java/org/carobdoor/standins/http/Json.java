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

/** JSON helpers that the stand-ins share. */
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

    /** Parses the body of a request. An empty body counts as an empty object. */
    public static JsonNode body(Context context) throws IOException {
        byte[] bytes = context.body().bytes();
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }

    /**
     * Returns the elements of an array as strings, or an empty list if {@code node} is no array.
     */
    public static List<String> stringList(JsonNode node) {
        List<String> strings = new ArrayList<>();
        node.forEach(n -> strings.add(n.asText()));
        return List.copyOf(strings);
    }

    /** Serializes {@code node} without line breaks. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
