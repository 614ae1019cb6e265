package org.carobdoor.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against commands whose output or exit code misstates the node's response. */
final class CarobdoorCommandTest {
    private static final String ENTRY =
            """
            name = "drafts"
            owner = "hay"
            kind = "model"
            models = ["large"]
            """;

    @TempDir private Path folder;
    private final AdminStub stub = new AdminStub();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @AfterEach
    void close() {
        stub.close();
    }

    @Test
    void entryIsCreatedShownEditedAndListed() throws Exception {
        assertThat(run("entry", "create", file("a.toml", ENTRY))).isEqualTo(0);
        assertThat(out()).contains("drafts has revision 1");
        assertThat(run("entry", "show", "drafts")).isEqualTo(0);
        String shown = out();
        assertThat(shown).contains("revision = 1");
        String edited = shown.replace("class = 3", "class = 1");
        assertThat(run("entry", "edit", file("b.toml", edited), "--operator", "amira"))
                .isEqualTo(0);
        assertThat(run("entry", "list")).isEqualTo(0);
        assertThat(out()).containsMatch("drafts +2 +amira");
        assertThat(run("entry", "history", "drafts", "--text")).isEqualTo(0);
        assertThat(out()).contains("-class = 3\n+class = 1");
    }

    @Test
    void editOfAnOlderRevisionExitsWithTheConflictCodeAndShowsBothVersions() throws Exception {
        run("entry", "create", file("a.toml", ENTRY));
        run("entry", "edit", file("b.toml", ENTRY + "class = 2"), "--expected", "1");
        int status = run("entry", "edit", file("c.toml", ENTRY + "class = 4"), "--expected", "1");
        assertThat(status).isEqualTo(3);
        assertThat(err()).contains("-class = 2\n+class = 4");
        assertThat(err()).contains("docs/TROUBLESHOOTING.md#entry-conflict");
        assertThat(run("entry", "create", file("a.toml", ENTRY))).isEqualTo(3);
    }

    @Test
    void removedEntryIsListedOnlyOnRequest() throws Exception {
        run("entry", "create", file("a.toml", ENTRY));
        assertThat(run("entry", "remove", "drafts", "--expected", "1")).isEqualTo(0);
        run("entry", "list");
        assertThat(out()).doesNotContain("drafts");
        run("entry", "list", "--removed");
        assertThat(out()).contains("removed");
        assertThat(run("entry", "remove", "drafts")).isEqualTo(2);
    }

    @Test
    void diffShowsWhatAnEditWouldChange() throws Exception {
        run("entry", "create", file("a.toml", ENTRY));
        assertThat(run("entry", "diff", file("b.toml", ENTRY + "repeatable = false"))).isEqualTo(0);
        assertThat(out()).contains("-repeatable = true\n+repeatable = false");
        assertThat(run("entry", "show", "other")).isEqualTo(1);
    }

    @Test
    void editWithoutARevisionIsAUsageError() throws Exception {
        assertThat(run("entry", "edit", file("a.toml", ENTRY))).isEqualTo(2);
        assertThat(err()).contains("--expected");
    }

    @Test
    void validateNeedsNoNodeAndNamesTheFileAndTheKey() throws Exception {
        stub.close();
        String bad = file("bad.toml", ENTRY + "clas = 1");
        assertThat(run("validate", file("good.toml", ENTRY))).isEqualTo(0);
        assertThat(run("validate", bad)).isEqualTo(1);
        assertThat(err()).contains(bad + ": clas: ");
        assertThat(run("validate", folder.resolve("none.toml").toString())).isEqualTo(1);
    }

    @Test
    void unreachableNodeHasItsOwnExitCode() {
        stub.close();
        assertThat(run("status")).isEqualTo(4);
        assertThat(err()).contains("docs/TROUBLESHOOTING.md#node-not-reachable");
    }

    @Test
    void wrongKeyAndWrongUsageAreReported() {
        assertThat(run("status", "--key", "wrong")).isEqualTo(1);
        assertThat(err()).contains("operator key");
        assertThat(run("nosuch")).isEqualTo(2);
        assertThat(run("entry")).isEqualTo(2);
        assertThat(run("status", "--output", "xml")).isEqualTo(2);
        assertThat(run("status", "--node", "not a url")).isEqualTo(2);
    }

    @Test
    void statusAndEndpointsShowWhatTheNodeKnows() {
        assertThat(run("status")).isEqualTo(0);
        assertThat(out()).containsMatch("n2 +zone-b +SUSPECT +not reachable");
        assertThat(run("endpoints")).isEqualTo(0);
        assertThat(out()).containsMatch("vm-7 +zone-c +engine +LIVE +4 +large,small");
        assertThat(run("--output", "json", "endpoints")).isEqualTo(0);
        assertThat(out()).contains("\"inFlight\" : 4");
    }

    @Test
    void drainIsSentToTheNode() {
        assertThat(run("drain")).isEqualTo(0);
        assertThat(stub.drained).isTrue();
    }

    @Test
    void burnIsATableOrOneSelfContainedPage() throws Exception {
        assertThat(run("burn")).isEqualTo(0);
        assertThat(out()).containsMatch("-100.0% +2.50 +0.50 +1.00 +0.25 +1.25 +321 +reclaim=4");
        Path page = folder.resolve("burn.html");
        assertThat(run("burn", "--html", page.toString())).isEqualTo(0);
        String html = Files.readString(page);
        assertThat(html).contains("<svg");
        assertThat(html).contains("&lt;drafts&gt;");
        assertThat(html).doesNotContain("<drafts>");
        assertThat(html).doesNotContainMatch("src=|href=|http");
    }

    @Test
    void helpIsPrintedForEachSubcommand() {
        for (String command : List.of("", "entry", "entry create", "validate", "status", "burn")) {
            var args = new ArrayList<>(List.of(command.split(" ", -1)));
            args.remove("");
            args.add("--help");
            assertThat(run(args.toArray(String[]::new))).isEqualTo(0);
            assertThat(out()).contains("--node");
        }
    }

    private int run(String... args) {
        out.reset();
        err.reset();
        var environment = Map.of("CAROBDOOR_NODE", stub.url(), "CAROBDOOR_KEY", AdminStub.key());
        return CarobdoorCommand.run(
                environment,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                args);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }
}
