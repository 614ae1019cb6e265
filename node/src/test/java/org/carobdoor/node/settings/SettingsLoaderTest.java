package org.carobdoor.node.settings;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobdoor.Result;
import org.junit.jupiter.api.Test;

/** Guards against invalid settings files that are accepted, and against unclear error messages. */
final class SettingsLoaderTest {
    private static final String VALID =
            """
            [node]
            name = "a1"
            availability_zone = "zone-a"
            [listen]
            http = "127.0.0.1:8101"
            peer = "127.0.0.1:8201"
            [platform]
            url = "http://127.0.0.1:8000"
            [peers]
            seeds = ["127.0.0.1:8202"]
            cluster_keys = ["0123456789abcdef"]
            [operators]
            keys = ["operator-key-0001"]
            [[client_accounts]]
            name = "hay"
            keys = ["hay-account-key-01"]
            [requests]
            leaving_bound = "2s"
            """;

    @Test
    void loadsValidFile() {
        NodeSettings s = SettingsLoader.parse("node.toml", VALID).orElseThrow();
        assertThat(s.zone().value()).isEqualTo("zone-a");
        assertThat(s.http().getPort()).isEqualTo(8101);
        assertThat(s.requests().leavingBound()).isEqualTo(Duration.ofSeconds(2));
    }

    @Test
    void unknownKeyNamesFileLineAndAllowedKeys() {
        String detail = problemOf(VALID.replace("seeds =", "sedes ="));
        assertThat(detail).contains("node.toml:10: peers.sedes: unknown key");
        assertThat(detail).contains("cluster_keys, seeds");
    }

    @Test
    void invalidDurationNamesAllowedUnits() {
        String detail = problemOf(VALID.replace("\"2s\"", "\"2 parsecs\""));
        assertThat(detail).contains("requests.leaving_bound: must be a time");
        assertThat(detail).contains("unit ms, s, m or h");
    }

    @Test
    void rejectsWrongType() {
        assertThat(problemOf(VALID.replace("\"zone-a\"", "7")))
                .contains("node.availability_zone: must be a string");
    }

    @Test
    void rejectsHostName() {
        // Only IP addresses are accepted, so that the start does not depend on name resolution.
        assertThat(problemOf(VALID.replace("\"127.0.0.1:8101\"", "\"localhost:8101\"")))
                .contains("listen.http: is \"localhost:8101\"; must be an IP address and a port");
    }

    @Test
    void rejectsKeySharedByTwoAccounts() {
        String twice =
                VALID
                        + """
                        [[client_accounts]]
                        name = "debate"
                        keys = ["hay-account-key-01"]
                        """;
        assertThat(problemOf(twice)).contains("contains a duplicate key");
    }

    @Test
    void reportsAllProblemsAtOnce() {
        String detail = problemOf("[node]\nname = \"a 1\"\n");
        assertThat(detail).contains("node.name");
        assertThat(detail).contains("node.availability_zone: is missing");
        assertThat(detail).contains("operators.keys: is missing");
        assertThat(detail).contains("docs/TROUBLESHOOTING.md#settings");
    }

    @Test
    void syntaxErrorNamesLine() {
        assertThat(problemOf("[node]\nname = = 1\n")).contains("node.toml:2:");
    }

    @Test
    void toStringOmitsKeys() {
        NodeSettings s = SettingsLoader.parse("node.toml", VALID).orElseThrow();
        assertThat(s.toString()).doesNotContain("operator-key");
        assertThat(s.accounts().toString()).doesNotContain("hay-account-key");
    }

    private static String problemOf(String text) {
        return switch (SettingsLoader.parse("node.toml", text)) {
            case Result.Ok<NodeSettings>(var s) -> throw new AssertionError("accepted: " + s);
            case Result.Err<NodeSettings>(var failure) -> failure.detail();
        };
    }
}
