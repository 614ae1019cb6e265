package org.carobdoor.clients.catalogue;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.junit.jupiter.api.Test;

/** Guards against entries that are parsed or formatted with another meaning than their text has. */
final class EntryTextTest {
    private static final String MINIMAL_MODEL =
            """
            name = "drafts"
            owner = "hay"
            kind = "model"
            models = ["large"]
            """;
    private static final String MINIMAL_SERVICE =
            """
            name = "bids"
            owner = "hay"
            kind = "service"
            service = "auction"
            path_prefix = "bids"
            """;

    @Test
    void missingKeysGetTheirDefaults() {
        CatalogueEntry entry = valid(MINIMAL_MODEL);
        assertThat(entry.priority()).isEqualTo(3);
        assertThat(entry.repeatable()).isTrue();
        assertThat(entry.datedKeys()).isTrue();
        assertThat(entry.limits().requestsPerSecond()).isEqualTo(0);
        assertThat(entry.objective().firstTokenMillis()).isEqualTo(1_800);
    }

    @Test
    void servicesAreNotRepeatableUnlessTheTextSaysSo() {
        assertThat(valid(MINIMAL_SERVICE).repeatable()).isFalse();
        assertThat(valid(MINIMAL_SERVICE + "repeatable = true").repeatable()).isTrue();
        assertThat(valid(MINIMAL_SERVICE).kind()).isEqualTo(EntryKind.SERVICE);
    }

    @Test
    void formattedTextIsReadAsTheSameEntry() {
        String text =
                MINIMAL_SERVICE
                        + """
                        class = 1
                        revision = 7
                        [limits]
                        requests_per_second = 40
                        spend_per_day = 12.5
                        [objective]
                        target_percent = 99.9
                        """;
        CatalogueEntry entry = valid(text);
        assertThat(entry.revision()).isEqualTo(7);
        assertThat(valid(EntryText.format(entry))).isEqualTo(entry);
        assertThat(valid(EntryText.format(valid(MINIMAL_MODEL)))).isEqualTo(valid(MINIMAL_MODEL));
    }

    @Test
    void unknownKeyIsRefusedWithTheAllowedOnes() {
        EntryProblem problem = onlyProblem(MINIMAL_MODEL + "[limits]\nrequest_per_second = 1");
        assertThat(problem.key()).isEqualTo("limits.request_per_second");
        assertThat(problem.problem()).contains("requests_per_second");
        assertThat(problem.toString()).contains("docs/TROUBLESHOOTING.md#entry-unknown-key");
        assertThat(onlyProblem(MINIMAL_MODEL + "repeatble = false").key()).isEqualTo("repeatble");
        assertThat(onlyProblem(MINIMAL_MODEL + "[objective]\ngap = 1").key())
                .isEqualTo("objective.gap");
    }

    @Test
    void allProblemsAreNamedAtOnce() {
        var text = MINIMAL_MODEL + "class = 9\nrepeatable = \"no\"\n[objective]\ntoken_gap_ms = 0";
        assertThat(problems(text).stream().map(EntryProblem::key))
                .containsExactly("class", "repeatable", "objective.token_gap_ms");
    }

    @Test
    void keysOfTheOtherKindAreRefused() {
        assertThat(onlyProblem(MINIMAL_MODEL + "path_prefix = \"x\"").key())
                .isEqualTo("path_prefix");
        assertThat(onlyProblem(MINIMAL_SERVICE + "models = [\"m\"]").key()).isEqualTo("models");
    }

    @Test
    void valuesOutsideTheirRangeAreRefused() {
        for (String line :
                List.of(
                        "requests_per_second = -1",
                        "requests_per_second = 1.5",
                        "spend_per_day = nan",
                        "spend_per_day = inf",
                        "max_in_flight = 99999999999999999999")) {
            assertThat(onlyProblem(MINIMAL_MODEL + "[limits]\n" + line).key())
                    .startsWith("limits.");
        }
        assertThat(onlyProblem(MINIMAL_MODEL + "[objective]\ntarget_percent = 100").key())
                .isEqualTo("objective.target_percent");
        assertThat(onlyProblem(MINIMAL_MODEL.replace("drafts", "Drafts/x")).key())
                .isEqualTo("name");
        assertThat(
                        onlyProblem(
                                        MINIMAL_SERVICE.replace(
                                                "prefix = \"bids", "prefix = \"../bids"))
                                .key())
                .isEqualTo("path_prefix");
    }

    @Test
    void badTomlIsReportedWithItsLine() {
        assertThat(onlyProblem("name = \"a\"\nowner").problem()).contains("line 2");
        assertThat(onlyProblem("name = \"a\"\nname = \"b\"").problem()).contains("TOML");
    }

    private static CatalogueEntry valid(String text) {
        return EntryText.parse(text).toResult().orElseThrow();
    }

    private static List<EntryProblem> problems(String text) {
        return ((ParsedEntry.Invalid) EntryText.parse(text)).problems();
    }

    private static EntryProblem onlyProblem(String text) {
        List<EntryProblem> problems = problems(text);
        assertThat(problems).hasSize(1);
        return problems.getFirst();
    }
}
