package org.carobdoor.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.toml.TomlProblems;
import org.carobdoor.clients.toml.TomlTable;

/** Reads settings files, and parses the settings shared by the node and the gateway. */
public final class SettingsFile {
    private static final String HELP = "see docs/TROUBLESHOOTING.md#settings";
    private static final int MIN_KEY_LENGTH = 16;

    private SettingsFile() {}

    /**
     * Reads and parses the settings file at {@code file}.
     *
     * @param parser parses the settings from the file name and the text
     */
    public static <T> Result<T> load(Path file, BiFunction<String, String, Result<T>> parser) {
        try {
            return parser.apply(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return Result.err(
                    FailureKind.REJECTED,
                    "settings.read",
                    "local",
                    file + ": cannot read the file: " + e + "\n" + HELP);
        }
    }

    /**
     * Parses {@code text}, the content of {@code file}; the failure lists all problems, including
     * unknown keys.
     *
     * @param reader reads the settings; any problem that it reports rejects the file
     */
    public static <T> Result<T> parse(String file, String text, Function<TomlTable, T> reader) {
        TomlProblems problems = new TomlProblems(file, text);
        TomlTable root = TomlTable.parse(text, problems);
        // After a syntax error every key would be reported as missing.
        if (!problems.isEmpty()) {
            return rejected(problems);
        }
        T settings = reader.apply(root);
        root.checkNoUnknownKeys();
        return problems.isEmpty() ? Result.ok(settings) : rejected(problems);
    }

    private static <T> Result<T> rejected(TomlProblems problems) {
        return Result.err(FailureKind.REJECTED, "settings.check", "local", problems + "\n" + HELP);
    }

    /** Reads the availability zone of the table {@code node}. */
    public static AvailabilityZone zone(TomlTable node) {
        String zone = node.string("availability_zone");
        return new AvailabilityZone(zone.isBlank() ? "missing" : zone);
    }

    /** Reads a non-empty list of secret keys. */
    public static List<String> keys(TomlTable t, String key) {
        List<String> keys = t.strings(key);
        if (keys.isEmpty()) {
            t.problem(key, "is missing; at least one key is required");
        }
        if (keys.stream().anyMatch(k -> k.length() < MIN_KEY_LENGTH)) {
            t.problem(key, "contains a key shorter than " + MIN_KEY_LENGTH + " characters");
        }
        return keys;
    }

    /** Reads the log level of the table {@code log}. */
    public static String logLevel(TomlTable log) {
        return log.oneOf("level", "info", List.of("error", "warn", "info", "debug"));
    }
}
