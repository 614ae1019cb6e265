package org.carobdoor.node.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.ClientAccount;
import org.carobdoor.Result;
import org.carobdoor.clients.toml.TomlTable;

/**
 * Loads and validates the settings file of a node. All problems are reported at once, each with
 * file, line and key.
 *
 * <pre>{@code
 * switch (SettingsLoader.load(Path.of("node.toml"))) {
 *     case Result.Ok<NodeSettings>(var settings) -> start(settings);
 *     case Result.Err<NodeSettings>(var failure) -> System.err.println(failure.detail());
 * }
 * }</pre>
 */
public final class SettingsLoader {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    private SettingsLoader() {}

    /** Loads the settings file at {@code file}. */
    public static Result<NodeSettings> load(Path file) {
        return SettingsFile.load(file, SettingsLoader::parse);
    }

    /** Parses {@code text}, the content of {@code file}. */
    public static Result<NodeSettings> parse(String file, String text) {
        return SettingsFile.parse(file, text, SettingsLoader::read);
    }

    private static NodeSettings read(TomlTable root) {
        TomlTable node = root.table("node");
        TomlTable listen = root.table("listen");
        TomlTable peers = root.table("peers");
        String name = node.string("name");
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9_]{0,31}")) {
            node.problem("name", "must be 1 to 32 letters, digits or underscores");
        }
        return new NodeSettings(
                name,
                node.string("vm_id", ""),
                SettingsFile.zone(node),
                listen.address("http"),
                listen.address("peer"),
                platformUrl(root.table("platform")),
                peers.addresses("seeds"),
                SettingsFile.keys(peers, "cluster_keys"),
                SettingsFile.keys(root.table("operators"), "keys"),
                accounts(root),
                requests(root.table("requests")),
                log(root.table("log")));
    }

    private static URI platformUrl(TomlTable t) {
        String url = t.string("url");
        try {
            URI uri = new URI(url);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (!url.isBlank() && (!http || uri.getHost() == null)) {
                t.problem("url", "must be an http or https URL with a host");
            }
            return uri;
        } catch (URISyntaxException e) {
            t.problem("url", "must be an http or https URL with a host");
            return URI.create("http://0.0.0.0");
        }
    }

    private static List<AccountSettings> accounts(TomlTable root) {
        List<AccountSettings> accounts = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (TomlTable t : root.tables("client_accounts")) {
            String name = t.string("name");
            List<String> keys = SettingsFile.keys(t, "keys");
            if (name.isBlank()) {
                continue;
            }
            if (!seen.add(name)) {
                t.problem("name", "\"" + name + "\" is a duplicate name");
            }
            for (String key : keys) {
                // A key shared by two accounts would let one account act as the other.
                if (!seen.add("key " + key)) {
                    t.problem("keys", "contains a duplicate key");
                }
            }
            accounts.add(new AccountSettings(new ClientAccount(name), keys));
        }
        return accounts;
    }

    private static RequestSettings requests(TomlTable t) {
        return new RequestSettings(
                t.size("max_body", MIB, KIB, 64 * MIB),
                duration(t, "timeout", Duration.ofMinutes(10), Duration.ofHours(6)),
                duration(t, "write_timeout", Duration.ofSeconds(30), Duration.ofMinutes(10)),
                duration(t, "leaving_bound", Duration.ofSeconds(3), Duration.ofSeconds(30)),
                duration(t, "connect_timeout", Duration.ofSeconds(1), Duration.ofSeconds(30)),
                duration(t, "progress_timeout", Duration.ofSeconds(10), Duration.ofMinutes(10)),
                duration(t, "remember_keys", Duration.ofHours(24), Duration.ofHours(24 * 7)),
                duration(t, "keep_answers", Duration.ofMinutes(10), Duration.ofHours(24)));
    }

    private static Duration duration(TomlTable t, String key, Duration defaultValue, Duration max) {
        return t.duration(key, defaultValue, Duration.ofMillis(1), max);
    }

    private static LogSettings log(TomlTable t) {
        String format = t.oneOf("format", "text", List.of("text", "json"));
        return new LogSettings(format.equals("json"), SettingsFile.logLevel(t));
    }
}
