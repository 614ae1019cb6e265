package org.carobdoor.clients.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;

/**
 * Parses and formats catalogue entries as TOML; {@code docs/CATALOGUE.md} lists the keys.
 *
 * <pre>{@code
 * switch (EntryText.parse(text)) {
 *     case ParsedEntry.Valid(var entry) -> use(entry);
 *     case ParsedEntry.Invalid(var problems) -> problems.forEach(System.err::println);
 * }
 * }</pre>
 */
public final class EntryText {
    /** The maximum length of the text of an entry, in characters. */
    public static final int MAX_LENGTH = 16 << 10;

    private static final TomlMapper MAPPER = new TomlMapper();
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final String NAME_RULE =
            "1 to 63 lower-case letters, digits, '.', '_' or '-', the first a letter or digit";
    private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/:@-]{0,127}");
    private static final String LABEL_RULE =
            "name of 1 to 128 letters, digits, '.', '_', '/', ':', '@' or '-'";
    private static final Pattern PATH = Pattern.compile("[a-z0-9][a-z0-9_-]*(/[a-z0-9_-]+)*");
    private static final String PATH_RULE =
            "path segments of lower-case letters, digits, '_' or '-', without a slash at the"
                    + " start or end";
    private static final Pattern KIND = Pattern.compile("model|service");
    private static final int DEFAULT_CLASS = 3;
    private static final long DEFAULT_FIRST_TOKEN_MILLIS = 1_800;
    private static final long DEFAULT_TOKEN_GAP_MILLIS = 68;
    private static final double DEFAULT_TARGET_PERCENT = 95;
    private static final long MAX_MILLIS = 600_000;

    private EntryText() {}

    /** Parses and validates the text of an entry; reports all invalid keys. */
    public static ParsedEntry parse(String text) {
        if (text.length() > MAX_LENGTH) {
            return invalid("is longer than " + MAX_LENGTH + " characters", "entry-size");
        }
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            String where = at == null ? "" : " in line " + at.getLineNr();
            return invalid(
                    "is not valid TOML" + where + ": " + e.getOriginalMessage(), "entry-toml");
        }
        List<EntryProblem> problems = new ArrayList<>();
        CatalogueEntry entry = readEntry(new EntryReader(root, "", problems));
        return problems.isEmpty()
                ? new ParsedEntry.Valid(entry)
                : new ParsedEntry.Invalid(problems);
    }

    /** Formats an entry with all its keys in a fixed order. */
    public static String format(CatalogueEntry entry) {
        var text = new StringBuilder();
        appendLine(text, "name", quoted(entry.name()));
        appendLine(text, "owner", quoted(entry.owner().value()));
        appendLine(text, "kind", quoted(entry.kind() == EntryKind.MODEL ? "model" : "service"));
        appendLine(text, "class", Integer.toString(entry.priority()));
        if (entry.kind() == EntryKind.MODEL) {
            appendLine(text, "models", quoted(entry.models()));
        } else {
            appendLine(text, "service", quoted(entry.service()));
            appendLine(text, "path_prefix", quoted(entry.pathPrefix()));
        }
        appendLine(text, "repeatable", Boolean.toString(entry.repeatable()));
        appendLine(text, "dated_keys", Boolean.toString(entry.datedKeys()));
        appendLine(text, "revision", Long.toString(entry.revision()));
        text.append("\n[limits]\n");
        appendLine(text, "requests_per_second", Long.toString(entry.limits().requestsPerSecond()));
        appendLine(text, "tokens_per_minute", Long.toString(entry.limits().tokensPerMinute()));
        appendLine(text, "spend_per_day", Double.toString(entry.limits().spendPerDay()));
        appendLine(text, "max_in_flight", Long.toString(entry.limits().maxInFlight()));
        text.append("\n[objective]\n");
        appendLine(text, "first_token_ms", Long.toString(entry.objective().firstTokenMillis()));
        appendLine(text, "token_gap_ms", Long.toString(entry.objective().tokenGapMillis()));
        appendLine(text, "target_percent", Double.toString(entry.objective().targetPercent()));
        return text.toString();
    }

    /** Returns a copy of the entry with another revision. */
    public static CatalogueEntry withRevision(CatalogueEntry entry, long revision) {
        return new CatalogueEntry(
                entry.name(),
                entry.owner(),
                entry.kind(),
                entry.priority(),
                entry.models(),
                entry.service(),
                entry.pathPrefix(),
                entry.repeatable(),
                entry.datedKeys(),
                entry.limits(),
                entry.objective(),
                revision);
    }

    /** Returns whether {@code name} is a valid entry name. */
    public static boolean isName(String name) {
        return NAME.matcher(name).matches();
    }

    private static CatalogueEntry readEntry(EntryReader root) {
        String name = root.string("name", NAME, NAME_RULE);
        String owner = root.string("owner", LABEL, "a " + LABEL_RULE);
        String kind = root.string("kind", KIND, "\"model\" or \"service\"");
        long priority =
                root.integer(
                        "class",
                        DEFAULT_CLASS,
                        CatalogueEntry.HIGHEST_PRIORITY,
                        CatalogueEntry.LOWEST_PRIORITY);
        boolean isService = kind.equals("service");
        Set<String> models = Set.of();
        String service = "";
        String pathPrefix = "";
        if (isService) {
            service = root.string("service", LABEL, "a " + LABEL_RULE);
            pathPrefix = root.string("path_prefix", PATH, PATH_RULE);
            root.rejectIfPresent("models", "entries of kind \"service\" have a service, no models");
        } else {
            models = root.strings("models", LABEL, LABEL_RULE);
            root.rejectIfPresent("service", "entries of kind \"model\" have models, no service");
            root.rejectIfPresent("path_prefix", "entries of kind \"model\" are reached by name");
        }
        // Running a service call twice can cost money, so repeating it must be allowed explicitly.
        boolean repeatable = root.bool("repeatable", !isService);
        boolean datedKeys = root.bool("dated_keys", true);
        long revision = root.integer("revision", 0, 0, Long.MAX_VALUE);
        EntryLimits limits = readLimits(root.table("limits"));
        EntryObjective objective = readObjective(root.table("objective"));
        root.rejectUnknownKeys();
        return new CatalogueEntry(
                name,
                new ClientAccount(owner.isEmpty() ? "-" : owner),
                isService ? EntryKind.SERVICE : EntryKind.MODEL,
                (int) priority,
                models,
                service,
                pathPrefix,
                repeatable,
                datedKeys,
                limits,
                objective,
                revision);
    }

    private static EntryLimits readLimits(EntryReader table) {
        var limits =
                new EntryLimits(
                        table.integer("requests_per_second", 0, 0, Long.MAX_VALUE),
                        table.integer("tokens_per_minute", 0, 0, Long.MAX_VALUE),
                        table.number("spend_per_day", 0, 0, Double.POSITIVE_INFINITY),
                        table.integer("max_in_flight", 0, 0, Long.MAX_VALUE));
        table.rejectUnknownKeys();
        return limits;
    }

    private static EntryObjective readObjective(EntryReader table) {
        var objective =
                new EntryObjective(
                        table.integer("first_token_ms", DEFAULT_FIRST_TOKEN_MILLIS, 1, MAX_MILLIS),
                        table.integer("token_gap_ms", DEFAULT_TOKEN_GAP_MILLIS, 1, MAX_MILLIS),
                        // Exclusive, because 100% leaves no error budget and makes burn rates
                        // undefined.
                        table.number("target_percent", DEFAULT_TARGET_PERCENT, 1, 100));
        table.rejectUnknownKeys();
        return objective;
    }

    private static ParsedEntry invalid(String problem, String anchor) {
        return new ParsedEntry.Invalid(List.of(new EntryProblem("entry", problem, anchor)));
    }

    private static void appendLine(StringBuilder text, String key, String value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private static String quoted(Set<String> values) {
        return new TreeSet<>(values)
                .stream().map(EntryText::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    // None of the allowed characters need escaping.
    private static String quoted(String value) {
        return '"' + value + '"';
    }
}
