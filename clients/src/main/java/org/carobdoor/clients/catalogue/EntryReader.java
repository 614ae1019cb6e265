package org.carobdoor.clients.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Reads the keys of one table and collects what is wrong with them. */
final class EntryReader {
    private final JsonNode table;
    private final String path;
    private final List<EntryProblem> problems;
    private final Set<String> known = new TreeSet<>();

    EntryReader(JsonNode table, String path, List<EntryProblem> problems) {
        this.table = table;
        this.path = path;
        this.problems = problems;
    }

    /** Returns a reader of a table below this one; a missing one counts as empty. */
    EntryReader table(String key) {
        JsonNode node = value(key);
        if (!node.isMissingNode() && !node.isObject()) {
            problem(key, "expected a table, got " + node, "entry-type");
        }
        return new EntryReader(node, path + key + ".", problems);
    }

    String text(String key, Pattern allowed, String description) {
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

    Set<String> texts(String key, Pattern allowed, String description) {
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

    boolean flag(String key, boolean byDefault) {
        JsonNode node = value(key);
        if (!node.isMissingNode() && !node.isBoolean()) {
            problem(key, "expected true or false, got " + node, "entry-type");
        }
        return node.asBoolean(byDefault);
    }

    long whole(String key, long byDefault, long min, long max) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return byDefault;
        }
        boolean valid = node.isIntegralNumber() && node.canConvertToLong();
        if (!valid || node.asLong() < min || node.asLong() > max) {
            String range =
                    max == Long.MAX_VALUE ? "of at least " + min : "from " + min + " to " + max;
            problem(key, "expected a whole number " + range + ", got " + node, "entry-number");
            return byDefault;
        }
        return node.asLong();
    }

    /** Reads a number from {@code min}, included, up to {@code below}, not included. */
    double number(String key, double byDefault, double min, double below) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return byDefault;
        }
        double number = node.asDouble(Double.NaN);
        if (!node.isNumber() || !(number >= min && number < below)) {
            String limit = Double.isInfinite(below) ? "" : " and below " + below;
            problem(
                    key,
                    "expected a number of at least " + min + limit + ", got " + node,
                    "entry-number");
            return byDefault;
        }
        return number;
    }

    /** Reports a key that may not be there for entries of this kind. */
    void absent(String key, String reason) {
        if (!value(key).isMissingNode()) {
            problem(key, "is not allowed: " + reason, "entry-kind");
        }
    }

    /** Reports the keys that were not read. */
    void refuseOthers() {
        List<String> others = new ArrayList<>();
        table.fieldNames().forEachRemaining(others::add);
        others.removeAll(known);
        for (String key : others) {
            String allowed = String.join(", ", known);
            problem(key, "is not a key of an entry; allowed are " + allowed, "entry-unknown-key");
        }
    }

    void problem(String key, String problem, String anchor) {
        problems.add(new EntryProblem(path + key, problem, anchor));
    }

    private JsonNode value(String key) {
        known.add(key);
        return table.path(key);
    }
}
