package org.carobdoor.clients.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads the keys of one TOML table and reports each missing, mistyped or unknown key.
 *
 * <pre>{@code
 * TomlProblems problems = new TomlProblems("node.toml", text);
 * TomlTable root = TomlTable.parse(text, problems);
 * String zone = root.table("node").string("availability_zone");
 * root.checkNoUnknownKeys();
 * if (!problems.isEmpty()) { ... }
 * }</pre>
 *
 * <p>A getter that finds a problem records it and returns a default value, so that one pass finds
 * all problems.
 */
public final class TomlTable {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB)");
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");
    private static final int MAX_PORT = 65_535;

    private final String path;
    private final @Nullable JsonNode node;
    private final TomlProblems problems;
    private final Set<String> requestedKeys = new HashSet<>();
    private final List<TomlTable> children = new ArrayList<>();

    private TomlTable(String path, @Nullable JsonNode node, TomlProblems problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /** Parses {@code text}; records a syntax error and returns an empty table for it. */
    public static TomlTable parse(String text, TomlProblems problems) {
        try {
            return new TomlTable("", new TomlMapper().readTree(text), problems);
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            problems.addAtLine(at == null ? 1 : at.getLineNr(), e.getOriginalMessage());
            return new TomlTable("", null, problems);
        }
    }

    /** Returns the table at {@code key}, empty if the key is absent. */
    public TomlTable table(String key) {
        JsonNode child = childNode(key);
        if (child != null && !child.isObject()) {
            problem(key, "must be a table");
            child = null;
        }
        return addChild(new TomlTable(pathOf(key), child, problems));
    }

    /** Returns the array of tables at {@code key}, empty if the key is absent. */
    public List<TomlTable> tables(String key) {
        JsonNode child = childNode(key);
        List<TomlTable> tables = new ArrayList<>();
        if (child == null) {
            return tables;
        }
        if (!child.isArray()) {
            problem(key, "must be an array of tables ([[" + pathOf(key) + "]])");
            return tables;
        }
        for (int i = 0; i < child.size(); i++) {
            String childPath = pathOf(key) + "[" + i + "]";
            tables.add(addChild(new TomlTable(childPath, child.get(i), problems)));
        }
        return tables;
    }

    /** Returns the string at {@code key}, which must be present and not blank. */
    public String string(String key) {
        String value = string(key, "");
        if (value.isBlank() && (node == null || !node.has(key))) {
            problem(key, "is missing; a string is required");
        } else if (value.isBlank() && childNode(key) instanceof JsonNode n && n.isTextual()) {
            problem(key, "must not be blank");
        }
        return value;
    }

    /** Returns the string at {@code key}, or {@code defaultValue} if the key is absent. */
    public String string(String key, String defaultValue) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        if (!child.isTextual()) {
            problem(key, "must be a string");
            return defaultValue;
        }
        return child.textValue();
    }

    /** Returns the string at {@code key}, which must be one of {@code allowed}. */
    public String oneOf(String key, String defaultValue, List<String> allowed) {
        String value = string(key, defaultValue);
        if (!allowed.contains(value)) {
            problem(key, "is \"" + value + "\"; allowed: " + String.join(", ", allowed));
            return defaultValue;
        }
        return value;
    }

    /** Returns the array of strings at {@code key}, empty if the key is absent. */
    public List<String> strings(String key) {
        JsonNode child = childNode(key);
        List<String> values = new ArrayList<>();
        if (child == null) {
            return values;
        }
        if (!child.isArray()) {
            problem(key, "must be an array of strings");
            return values;
        }
        for (JsonNode item : child) {
            if (item.isTextual() && !item.textValue().isBlank()) {
                values.add(item.textValue());
            } else {
                problem(key, "must contain only strings that are not blank");
            }
        }
        return values;
    }

    /** Returns the integer at {@code key}, or {@code defaultValue} if the key is absent. */
    public long integer(String key, long defaultValue, long min, long max) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        boolean fits = child.canConvertToLong() && child.isIntegralNumber();
        if (!fits || child.longValue() < min || child.longValue() > max) {
            problem(key, "must be a whole number from " + min + " to " + max);
            return defaultValue;
        }
        return child.longValue();
    }

    /** Returns the number at {@code key}, or {@code defaultValue} if the key is absent. */
    public double number(String key, double defaultValue, double min, double max) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        if (!child.isNumber() || !(child.doubleValue() >= min && child.doubleValue() <= max)) {
            problem(key, "must be a number from " + min + " to " + max);
            return defaultValue;
        }
        return child.doubleValue();
    }

    /** Returns the boolean at {@code key}, or {@code defaultValue} if the key is absent. */
    public boolean bool(String key, boolean defaultValue) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        if (!child.isBoolean()) {
            problem(key, "must be true or false");
            return defaultValue;
        }
        return child.booleanValue();
    }

    /** Returns the duration at {@code key}, a string such as {@code "250ms"}. */
    public Duration duration(String key, Duration defaultValue, Duration min, Duration max) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        Matcher m = DURATION.matcher(child.asText());
        String expected = "must be a time such as \"250ms\", with unit ms, s, m or h, from ";
        if (!child.isTextual() || !m.matches()) {
            problem(key, expected + min.toMillis() + "ms to " + max.toMillis() + "ms");
            return defaultValue;
        }
        long n = Long.parseLong(m.group(1));
        Duration value =
                switch (m.group(2)) {
                    case "ms" -> Duration.ofMillis(n);
                    case "s" -> Duration.ofSeconds(n);
                    case "m" -> Duration.ofMinutes(n);
                    default -> Duration.ofHours(n);
                };
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            problem(key, expected + min.toMillis() + "ms to " + max.toMillis() + "ms");
            return defaultValue;
        }
        return value;
    }

    /** Returns the size in bytes at {@code key}, a string such as {@code "1MiB"}. */
    public int size(String key, int defaultValue, int min, int max) {
        JsonNode child = childNode(key);
        if (child == null) {
            return defaultValue;
        }
        Matcher m = SIZE.matcher(child.asText());
        String expected = "must be a size such as \"1MiB\", with unit B, KiB or MiB, from ";
        long value = -1;
        if (child.isTextual() && m.matches()) {
            long unit = m.group(2).equals("B") ? 1 : m.group(2).equals("KiB") ? 1 << 10 : 1 << 20;
            value = Long.parseLong(m.group(1)) * unit;
        }
        if (value < min || value > max) {
            problem(key, expected + min + "B to " + max + "B");
            return defaultValue;
        }
        return (int) value;
    }

    /** Returns the IP address and port at {@code key}, which must be present. */
    public InetSocketAddress address(String key) {
        return parseAddress(key, string(key));
    }

    /** Returns the IP addresses and ports of the array at {@code key}. */
    public List<InetSocketAddress> addresses(String key) {
        return strings(key).stream().map(s -> parseAddress(key, s)).toList();
    }

    /** Records a problem of {@code key}. */
    public void problem(String key, String problem) {
        problems.add(pathOf(key), problem);
    }

    /** Returns the path of this table, empty for the root. */
    public String path() {
        return path;
    }

    /**
     * Records a problem for each key of this table and its children that no getter has requested.
     */
    public void checkNoUnknownKeys() {
        if (node != null && node.isObject()) {
            node.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!requestedKeys.contains(key)) {
                                    problem(key, "unknown key; allowed here: " + allowedKeys());
                                }
                            });
        }
        children.forEach(TomlTable::checkNoUnknownKeys);
    }

    private String allowedKeys() {
        return String.join(", ", requestedKeys.stream().sorted().toList());
    }

    private InetSocketAddress parseAddress(String key, String text) {
        InetSocketAddress unspecified = InetSocketAddress.createUnresolved("0.0.0.0", 0);
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !IP_ADDRESS.matcher(text.substring(0, colon)).matches()) {
            if (!text.isBlank()) {
                problem(
                        key,
                        "is \""
                                + text
                                + "\"; must be an IP address and a port, such as 10.0.0.1:8080");
            }
            return unspecified;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                problem(key, "has port " + port + "; allowed: 1 to " + MAX_PORT);
                return unspecified;
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            problem(
                    key,
                    "is \"" + text + "\"; must be an IP address and a port, such as 10.0.0.1:8080");
            return unspecified;
        }
    }

    private TomlTable addChild(TomlTable table) {
        children.add(table);
        return table;
    }

    private @Nullable JsonNode childNode(String key) {
        requestedKeys.add(key);
        return node == null ? null : node.get(key);
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
