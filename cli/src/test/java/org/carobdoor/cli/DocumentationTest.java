package org.carobdoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.carobdoor.clients.catalogue.EntryText;
import org.carobdoor.clients.catalogue.ParsedEntry;
import org.junit.jupiter.api.Test;

/** Guards against documentation that does not match the program. */
final class DocumentationTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern ANCHOR =
            Pattern.compile(
                    "TROUBLESHOOTING\\.md#([a-z-]+)"
                            + "|, \"([a-z]+-[a-z-]+|file)\"\\)"
                            + "|\"(entry-[a-z-]+)\"");

    @Test
    void exampleInTheCatalogueReferenceIsAValidEntry() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/CATALOGUE.md"));
        int start = page.indexOf("```toml\n") + "```toml\n".length();
        String example = page.substring(start, page.indexOf("```", start));
        assertThat(EntryText.parse(example)).isInstanceOf(ParsedEntry.Valid.class);
    }

    @Test
    void eachMessageLinksToASectionOfTheTroubleshootingPage() throws IOException {
        List<String> page = Files.readAllLines(ROOT.resolve("docs/TROUBLESHOOTING.md"));
        int links = 0;
        for (Path source : sources()) {
            var matcher = ANCHOR.matcher(Files.readString(source));
            while (matcher.find()) {
                String anchor = matcher.group().replaceAll(".*[#\"]([a-z-]+)\"?\\)?$", "$1");
                assertWithMessage("%s", source).that(page).contains("### " + anchor);
                links++;
            }
        }
        assertThat(links).isAtLeast(20);
    }

    private static List<Path> sources() throws IOException {
        Path catalogue = ROOT.resolve("clients/src/main/java/org/carobdoor/clients/catalogue");
        try (Stream<Path> cli = Files.walk(ROOT.resolve("cli/src/main"));
                Stream<Path> platform = Files.walk(catalogue)) {
            return Stream.concat(cli, platform)
                    .filter(p -> p.toString().endsWith(".java"))
                    .toList();
        }
    }
}
