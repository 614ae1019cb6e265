package org.carobdoor.clients.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Reads the keys of one TOML table and collects the problems found. */
final class EntryReader {
    private final JsonNode table;
    private final String path;
    private final List<EntryProblem> problems;
    private final Set<String> knownKeys = new TreeSet<>();

    EntryReader(JsonNode table, String path, List<EntryProblem> problems) {
        this.table = table;
        this.path = path;
        this.problems = problems;
    }

    /** Returns a reader of a nested table; a missing table is treated as empty. */
    EntryReader table(String key) {
        JsonNode node = value(key);
        if (!node.isMissingNode() && !node.isObject()) {
            problem(key, "expected a table, got " + node, "entry-type");
        }
        return new EntryReader(node, path + key + ".", problems);
    }

    String string(String key, Pattern allowed, String description) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            problem(key, "is missing; expected " + description, "entry-missing-key");
            return "";
        }
        if (!node.isTextual() || !allowed.matcher(node.asText()).matches()) {
            problem(key, "expected " + description + ", got " + node, "entry-text");
            return "";
        }
        return node.asText();
    }

    Set<String> strings(String key, Pattern allowed, String description) {
        JsonNode node = value(key);
        Set<String> texts = new LinkedHashSet<>();
        boolean valid = node.isArray() && !node.isEmpty();
        for (JsonNode item : node) {
            valid &= item.isTextual() && allowed.matcher(item.asText()).matches();
            texts.add(item.asText());
        }
        if (!valid) {
            String got = node.isMissingNode() ? "nothing" : node.toString();
            problem(
                    key,
                    "expected a list of at least one " + description + ", got " + got,
                    node.isMissingNode() ? "entry-missing-key" : "entry-text");
            return Set.of();
        }
        return texts;
    }

    boolean bool(String key, boolean defaultValue) {
        JsonNode node = value(key);
        if (!node.isMissingNode() && !node.isBoolean()) {
            problem(key, "expected true or false, got " + node, "entry-type");
        }
        return node.asBoolean(defaultValue);
    }

    long integer(String key, long defaultValue, long min, long max) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        boolean valid = node.isIntegralNumber() && node.canConvertToLong();
        if (!valid || node.asLong() < min || node.asLong() > max) {
            String range =
                    max == Long.MAX_VALUE ? "of at least " + min : "from " + min + " to " + max;
            problem(key, "expected a whole number " + range + ", got " + node, "entry-number");
            return defaultValue;
        }
        return node.asLong();
    }

    /** Reads a number from {@code min} (inclusive) to {@code below} (exclusive). */
    double number(String key, double defaultValue, double min, double below) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        double number = node.asDouble(Double.NaN);
        if (!node.isNumber() || !(number >= min && number < below)) {
            String limit = Double.isInfinite(below) ? "" : " and below " + below;
            problem(
                    key,
                    "expected a number of at least " + min + limit + ", got " + node,
                    "entry-number");
            return defaultValue;
        }
        return number;
    }

    /** Reports a problem if the table has a key that entries of this kind must not have. */
    void rejectIfPresent(String key, String reason) {
        if (!value(key).isMissingNode()) {
            problem(key, "is not allowed: " + reason, "entry-kind");
        }
    }

    /** Reports a problem for each key that was not read. */
    void rejectUnknownKeys() {
        List<String> unknownKeys = new ArrayList<>();
        table.fieldNames().forEachRemaining(unknownKeys::add);
        unknownKeys.removeAll(knownKeys);
        for (String key : unknownKeys) {
            String allowed = String.join(", ", knownKeys);
            problem(key, "is not a key of an entry; allowed are " + allowed, "entry-unknown-key");
        }
    }

    void problem(String key, String problem, String anchor) {
        problems.add(new EntryProblem(path + key, problem, anchor));
    }

    private JsonNode value(String key) {
        knownKeys.add(key);
        return table.path(key);
    }
}
