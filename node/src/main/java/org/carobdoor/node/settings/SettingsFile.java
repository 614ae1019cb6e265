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

/** Reads a settings file, and the settings that both modes of the daemon have. */
public final class SettingsFile {
    private static final String HELP = "see docs/TROUBLESHOOTING.md#settings";
    private static final int MIN_KEY_LENGTH = 16;

    private SettingsFile() {}

    /**
     * Reads the settings at {@code file}.
     *
     * @param parser parses a file's name and text
     */
    public static <T> Result<T> load(Path file, BiFunction<String, String, Result<T>> parser) {
        try {
            return parser.apply(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return Result.err(
                    FailureKind.REJECTED,
                    "settings.read",
                    "local",
                    file + ": cannot be read: " + e + "\n" + HELP);
        }
    }

    /**
     * Reads the settings in {@code text}, which came from {@code file}; the failure names all
     * problems, keys that were not read among them.
     *
     * @param reader reads the settings; what it notes as a problem rejects them
     */
    public static <T> Result<T> parse(String file, String text, Function<TomlTable, T> reader) {
        TomlProblems problems = new TomlProblems(file, text);
        TomlTable root = TomlTable.parse(text, problems);
        // Without a readable text every key would be reported as missing.
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

    /** Reads a list of secret keys, of which there must be one at least. */
    public static List<String> keys(TomlTable t, String key) {
        List<String> keys = t.strings(key);
        if (keys.isEmpty()) {
            t.problem(key, "is missing; at least one key is required");
        }
        if (keys.stream().anyMatch(k -> k.length() < MIN_KEY_LENGTH)) {
            t.problem(key, "holds a key shorter than " + MIN_KEY_LENGTH + " characters");
        }
        return keys;
    }

    /** Reads the level of the table {@code log}. */
    public static String logLevel(TomlTable log) {
        return log.oneOf("level", "info", List.of("error", "warn", "info", "debug"));
    }
}
