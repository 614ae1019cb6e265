package org.carobdoor.node.gateway.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.toml.TomlProblems;
import org.carobdoor.clients.toml.TomlTable;

/**
 * Reads and checks a settings file of the daemon on the users' platform; all problems are reported
 * at once, each with file, line and key.
 *
 * <pre>{@code
 * Result<GatewaySettings> settings = GatewaySettingsLoader.load(Path.of("node.toml"));
 * }</pre>
 */
public final class GatewaySettingsLoader {
    private static final String HELP = "see docs/TROUBLESHOOTING.md#settings";
    private static final int MIN_KEY_LENGTH = 16;
    private static final double MAX_RETRIES = 1e6;

    private GatewaySettingsLoader() {}

    /** Reads the settings at {@code file}. */
    public static Result<GatewaySettings> load(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return Result.err(
                    FailureKind.REJECTED,
                    "settings.read",
                    "local",
                    file + ": cannot be read: " + e + "\n" + HELP);
        }
    }

    /** Reads the settings in {@code text}, which came from {@code file}. */
    public static Result<GatewaySettings> parse(String file, String text) {
        TomlProblems problems = new TomlProblems(file, text);
        TomlTable root = TomlTable.parse(text, problems);
        // Without a readable text every key would be reported as missing.
        if (!problems.isEmpty()) {
            return rejected(problems);
        }
        TomlTable node = root.table("node");
        TomlTable listen = root.table("listen");
        TomlTable platform = root.table("platform");
        String name = node.string("name");
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")) {
            node.problem("name", "must be 1 to 63 letters, digits, \".\", \"_\" or \"-\"");
        }
        String zone = node.string("availability_zone");
        InetSocketAddress cloud = platform.address("cloud");
        List<String> duties = platform.strings("duties");
        GatewaySettings settings =
                new GatewaySettings(
                        name,
                        new AvailabilityZone(zone.isBlank() ? "missing" : zone),
                        listen.address("callers"),
                        listen.address("readiness"),
                        listen.address("peer"),
                        listen.address("metrics"),
                        platform.address("store"),
                        duties.isEmpty() ? Optional.empty() : Optional.of(cloud),
                        keys(root.table("peers")),
                        bounds(root.table("bounds"), duties),
                        root.table("log")
                                .oneOf("level", "info", List.of("error", "warn", "info", "debug")));
        root.checkNoUnknownKeys();
        return problems.isEmpty() ? Result.ok(settings) : rejected(problems);
    }

    private static Result<GatewaySettings> rejected(TomlProblems problems) {
        return Result.err(FailureKind.REJECTED, "settings.check", "local", problems + "\n" + HELP);
    }

    private static List<String> keys(TomlTable peers) {
        List<String> keys = peers.strings("cluster_keys");
        if (keys.isEmpty() || keys.stream().anyMatch(k -> k.length() < MIN_KEY_LENGTH)) {
            peers.problem(
                    "cluster_keys", "must hold keys of at least " + MIN_KEY_LENGTH + " characters");
        }
        return keys;
    }

    private static GatewayBounds bounds(TomlTable t, List<String> duties) {
        return new GatewayBounds(
                time(t, "stop_grace", Duration.ofSeconds(8)),
                time(t, "duty_lease", Duration.ofSeconds(3)),
                time(t, "usage_window", Duration.ofSeconds(5)),
                time(t, "quota_window", Duration.ofSeconds(8)),
                t.number("quota_tolerance", 0, 0, 1),
                duties.contains("usage"),
                duties.contains("scale"),
                t.number("retry_share", 0.1, 0, 1),
                t.number("retry_saved", 0, 0, MAX_RETRIES));
    }

    private static Duration time(TomlTable t, String key, Duration absent) {
        return t.duration(key, absent, Duration.ofMillis(100), Duration.ofMinutes(10));
    }
}
