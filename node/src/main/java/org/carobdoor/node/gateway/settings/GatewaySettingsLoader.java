package org.carobdoor.node.gateway.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Result;
import org.carobdoor.clients.toml.TomlTable;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.retries.RetryAllowance;
import org.carobdoor.internal.rollout.RolloutBounds;
import org.carobdoor.node.settings.SettingsFile;

/**
 * Loads and validates a settings file of the daemon on the users' platform; reports all problems
 * together, each with file, line and key.
 *
 * <pre>{@code
 * Result<GatewaySettings> settings = GatewaySettingsLoader.load(Path.of("node.toml"));
 * }</pre>
 */
public final class GatewaySettingsLoader {
    private static final double MAX_LINK_MBPS = 1e6;
    private static final double MAX_RETRIES = 1e6;
    private static final double MAX_QUOTA_EXCESS = 1e12;
    private static final double MAX_ROLLOUT_SLACK = 1e6;

    private GatewaySettingsLoader() {}

    /** Loads the settings from {@code file}. */
    public static Result<GatewaySettings> load(Path file) {
        return SettingsFile.load(file, GatewaySettingsLoader::parse);
    }

    /** Parses the settings in {@code text}; {@code file} is its name in problem reports. */
    public static Result<GatewaySettings> parse(String file, String text) {
        return SettingsFile.parse(file, text, GatewaySettingsLoader::read);
    }

    private static GatewaySettings read(TomlTable root) {
        TomlTable node = root.table("node");
        TomlTable listen = root.table("listen");
        TomlTable platform = root.table("platform");
        String name = node.string("name");
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")) {
            node.problem("name", "must be 1 to 63 letters, digits, \".\", \"_\" or \"-\"");
        }
        InetSocketAddress cloud = platform.address("cloud");
        List<String> duties = platform.strings("duties");
        return new GatewaySettings(
                name,
                SettingsFile.zone(node),
                (int) Math.ceil(node.number("link_mbps", 0, 0, MAX_LINK_MBPS)),
                node.bool("first_start", false),
                listen.address("callers"),
                listen.address("readiness"),
                listen.address("peer"),
                listen.address("metrics"),
                platform.address("store"),
                duties.isEmpty() ? Optional.empty() : Optional.of(cloud),
                SettingsFile.keys(root.table("peers"), "cluster_keys"),
                bounds(root.table("bounds"), duties),
                optionalBool(root.table("placement"), "learned"),
                SettingsFile.logLevel(root.table("log")));
    }

    private static GatewayBounds bounds(TomlTable table, List<String> duties) {
        return new GatewayBounds(
                duration(table, "stop_grace", Duration.ofSeconds(8)),
                duration(table, "duty_lease", Duration.ofSeconds(3)),
                duration(table, "usage_window", Duration.ofSeconds(5)),
                duration(table, "quota_window", Duration.ofSeconds(8)),
                table.number("quota_tolerance", 0, 0, 1),
                table.number("quota_excess", 0, 0, MAX_QUOTA_EXCESS),
                duration(table, "stale_limit", Duration.ofSeconds(3)),
                duration(table, "endpoint_heartbeat", EndpointDirectory.DEFAULT_HEARTBEAT),
                duties.contains("usage"),
                duties.contains("scale"),
                new RetryAllowance(
                        table.number("retry_share", 0.1, 0, 1),
                        table.number("retry_saved", 0, 0, MAX_RETRIES),
                        duration(table, "retry_window", Duration.ofSeconds(10)).toNanos()),
                rollouts(table));
    }

    private static Optional<RolloutBounds> rollouts(TomlTable table) {
        double share = table.number("rollout_share", 0, 0, 1);
        double slack = table.number("rollout_slack", 0, 0, MAX_ROLLOUT_SLACK);
        return share > 0 ? Optional.of(new RolloutBounds(share, (long) slack)) : Optional.empty();
    }

    private static Optional<Boolean> optionalBool(TomlTable table, String key) {
        boolean value = table.bool(key, false);
        boolean set = table.bool(key, true) == value;
        return set ? Optional.of(value) : Optional.empty();
    }

    private static Duration duration(TomlTable table, String key, Duration defaultValue) {
        return table.duration(key, defaultValue, Duration.ofMillis(100), Duration.ofMinutes(10));
    }
}
