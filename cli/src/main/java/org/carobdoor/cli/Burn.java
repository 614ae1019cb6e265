package org.carobdoor.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Shows the error budgets of the entries and the rates at which they are consumed. */
@Parameters(commandDescription = "Show error budgets and burn rates since the node's start")
final class Burn extends Command {
    /** The time windows of the burn rates, in column order. */
    static final List<String> WINDOWS = List.of("5m", "1h", "30m", "6h");

    @Parameter(names = "--html", description = "Write one self-contained HTML page to this file")
    private String html = "";

    Burn(CommonOptions common) {
        super(common);
    }

    @Override
    ExitCode run(Session session) {
        var result = session.client().get("admin/burn");
        if (html.isEmpty()) {
            return session.print(result, body -> session.out().print(table(body)));
        }
        return session.whenSuccessful(result, body -> write(session, body));
    }

    private ExitCode write(Session session, JsonNode body) {
        try {
            Files.writeString(Path.of(html), BurnPage.of(body));
        } catch (IOException e) {
            session.message("cannot write " + html + ": " + e, "file");
            return ExitCode.FAILURE;
        }
        session.out().println("wrote " + html);
        return ExitCode.OK;
    }

    private static TextTable table(JsonNode body) {
        var table =
                new TextTable(
                        "ENTRY",
                        "OBJECTIVE",
                        "GOOD",
                        "TOTAL",
                        "BUDGET LEFT",
                        "5M",
                        "1H",
                        "30M",
                        "6H",
                        "COST",
                        "RECOMPUTED",
                        "CAUSES");
        for (JsonNode e : body.path("entries")) {
            List<Object> cells = new ArrayList<>();
            cells.add(e.path("name").asText());
            cells.add(text(e.path("objective")));
            cells.add(e.path("good").asLong());
            cells.add(e.path("total").asLong());
            cells.add(percent(e.path("budgetLeft").asDouble()));
            WINDOWS.forEach(w -> cells.add(number(e.path("burn").path(w).asDouble())));
            cells.add(number(e.path("cost").asDouble()));
            cells.add(e.path("recomputedTokens").asLong());
            cells.add(causes(e.path("causes")));
            table.addRow(cells.toArray());
        }
        return table;
    }

    static String text(JsonNode node) {
        return node.isValueNode() ? node.asText() : node.toString();
    }

    static String percent(double fraction) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * fraction);
    }

    static String number(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String causes(JsonNode causes) {
        List<String> parts = new ArrayList<>();
        causes.properties().forEach(c -> parts.add(c.getKey() + "=" + c.getValue().asText()));
        return String.join(" ", parts);
    }
}
