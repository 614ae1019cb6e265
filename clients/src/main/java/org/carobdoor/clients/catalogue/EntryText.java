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
 * Reads and writes catalogue entries as TOML; {@code docs/CATALOGUE.md} lists the keys.
 *
 * <pre>{@code
 * switch (EntryText.parse(text)) {
 *     case ParsedEntry.Valid(var entry) -> use(entry);
 *     case ParsedEntry.Invalid(var problems) -> problems.forEach(System.err::println);
 * }
 * }</pre>
 */
public final class EntryText {
    /** The largest text of an entry, in characters. */
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

    /** Reads and checks the text of an entry; the problems name all keys that are wrong. */
    public static ParsedEntry parse(String text) {
        if (text.length() > MAX_LENGTH) {
            return invalid("is larger than " + MAX_LENGTH + " characters", "entry-size");
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
        CatalogueEntry entry = read(new EntryReader(root, "", problems));
        return problems.isEmpty()
                ? new ParsedEntry.Valid(entry)
                : new ParsedEntry.Invalid(problems);
    }

    /** Writes an entry with all its keys, in a fixed order. */
    public static String format(CatalogueEntry entry) {
        var text = new StringBuilder();
        line(text, "name", quoted(entry.name()));
        line(text, "owner", quoted(entry.owner().value()));
        line(text, "kind", quoted(entry.kind() == EntryKind.MODEL ? "model" : "service"));
        line(text, "class", Integer.toString(entry.priority()));
        if (entry.kind() == EntryKind.MODEL) {
            line(text, "models", quoted(entry.models()));
        } else {
            line(text, "service", quoted(entry.service()));
            line(text, "path_prefix", quoted(entry.pathPrefix()));
        }
        line(text, "repeatable", Boolean.toString(entry.repeatable()));
        line(text, "dated_keys", Boolean.toString(entry.datedKeys()));
        line(text, "revision", Long.toString(entry.revision()));
        text.append("\n[limits]\n");
        line(text, "requests_per_second", Long.toString(entry.limits().requestsPerSecond()));
        line(text, "tokens_per_minute", Long.toString(entry.limits().tokensPerMinute()));
        line(text, "spend_per_day", Double.toString(entry.limits().spendPerDay()));
        line(text, "max_in_flight", Long.toString(entry.limits().maxInFlight()));
        text.append("\n[objective]\n");
        line(text, "first_token_ms", Long.toString(entry.objective().firstTokenMillis()));
        line(text, "token_gap_ms", Long.toString(entry.objective().tokenGapMillis()));
        line(text, "target_percent", Double.toString(entry.objective().targetPercent()));
        return text.toString();
    }

    /** Returns the entry with another revision. */
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

    /** Returns whether {@code name} can be the name of an entry. */
    public static boolean isName(String name) {
        return NAME.matcher(name).matches();
    }

    private static CatalogueEntry read(EntryReader root) {
        String name = root.text("name", NAME, NAME_RULE);
        String owner = root.text("owner", LABEL, "a " + LABEL_RULE);
        String kind = root.text("kind", KIND, "\"model\" or \"service\"");
        long priority =
                root.whole(
                        "class",
                        DEFAULT_CLASS,
                        CatalogueEntry.HIGHEST_PRIORITY,
                        CatalogueEntry.LOWEST_PRIORITY);
        boolean isService = kind.equals("service");
        Set<String> models = Set.of();
        String service = "";
        String pathPrefix = "";
        if (isService) {
            service = root.text("service", LABEL, "a " + LABEL_RULE);
            pathPrefix = root.text("path_prefix", PATH, PATH_RULE);
            root.absent("models", "entries of kind \"service\" have a service, no models");
        } else {
            models = root.texts("models", LABEL, LABEL_RULE);
            root.absent("service", "entries of kind \"model\" have models, no service");
            root.absent("path_prefix", "entries of kind \"model\" are reached by name");
        }
        // A service call that runs twice can cost money, so repeating must be allowed explicitly.
        boolean repeatable = root.flag("repeatable", !isService);
        boolean datedKeys = root.flag("dated_keys", true);
        long revision = root.whole("revision", 0, 0, Long.MAX_VALUE);
        EntryLimits limits = limits(root.table("limits"));
        EntryObjective objective = objective(root.table("objective"));
        root.refuseOthers();
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

    private static EntryLimits limits(EntryReader table) {
        var limits =
                new EntryLimits(
                        table.whole("requests_per_second", 0, 0, Long.MAX_VALUE),
                        table.whole("tokens_per_minute", 0, 0, Long.MAX_VALUE),
                        table.number("spend_per_day", 0, 0, Double.POSITIVE_INFINITY),
                        table.whole("max_in_flight", 0, 0, Long.MAX_VALUE));
        table.refuseOthers();
        return limits;
    }

    private static EntryObjective objective(EntryReader table) {
        var objective =
                new EntryObjective(
                        table.whole("first_token_ms", DEFAULT_FIRST_TOKEN_MILLIS, 1, MAX_MILLIS),
                        table.whole("token_gap_ms", DEFAULT_TOKEN_GAP_MILLIS, 1, MAX_MILLIS),
                        // 100% would leave no budget, and burn rates would be undefined.
                        table.number("target_percent", DEFAULT_TARGET_PERCENT, 1, 100));
        table.refuseOthers();
        return objective;
    }

    private static ParsedEntry invalid(String problem, String anchor) {
        return new ParsedEntry.Invalid(List.of(new EntryProblem("entry", problem, anchor)));
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private static String quoted(Set<String> values) {
        return new TreeSet<>(values)
                .stream().map(EntryText::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    // The allowed characters need no escapes.
    private static String quoted(String value) {
        return '"' + value + '"';
    }
}
