package org.carobdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders the burn report as a self-contained HTML page with inline SVG and without scripts. */
final class BurnPage {
    private static final int LABEL_WIDTH = 90;
    private static final int BAR_WIDTH = 360;
    private static final int ROW_HEIGHT = 22;
    private static final String STYLE =
            """
            body{font:15px/1.4 system-ui,sans-serif;margin:2em auto;max-width:60em;color:#222}
            table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
            td:first-child,th:first-child{text-align:left}tr+tr{border-top:1px solid #ddd}
            section{border-top:2px solid #ccc;margin-top:1.5em}figure{margin:.6em 0}
            figcaption{font-weight:600}svg text{font:12px system-ui,sans-serif}
            """;

    private BurnPage() {}

    /** A bar of a plot, with its value in the unit of the plot and the text shown for the value. */
    private record Bar(String label, double value, String valueText, String colour) {}

    static String of(JsonNode body) {
        var page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>carobdoor burn report</title><style>\n");
        page.append(STYLE).append("</style></head><body>\n<h1>Burn report</h1>\n<p>Node ");
        page.append(escape(body.path("node").asText()));
        page.append(". Counted since the start of this node; a restart begins at zero.</p>\n");
        page.append("<table><tr><th>Entry</th><th>Objective</th><th>Good</th><th>Total</th>");
        page.append("<th>Budget left</th><th>Cost</th><th>Recomputed tokens</th></tr>\n");
        for (JsonNode e : body.path("entries")) {
            page.append("<tr>");
            appendCell(page, e.path("name").asText());
            appendCell(page, Burn.text(e.path("objective")));
            appendCell(page, e.path("good").asText());
            appendCell(page, e.path("total").asText());
            appendCell(page, Burn.percent(e.path("budgetLeft").asDouble()));
            appendCell(page, Burn.number(e.path("cost").asDouble()));
            appendCell(page, e.path("recomputedTokens").asText());
            page.append("</tr>\n");
        }
        page.append("</table>\n");
        body.path("entries").forEach(e -> appendEntry(page, e));
        return page.append("</body></html>\n").toString();
    }

    private static void appendEntry(StringBuilder page, JsonNode entry) {
        page.append("<section><h2>").append(escape(entry.path("name").asText()));
        page.append("</h2>\n");
        double budgetLeft = entry.path("budgetLeft").asDouble();
        String colour = budgetLeft > 0.25 ? "#2a7f4f" : budgetLeft > 0 ? "#c98a00" : "#b3261e";
        var budget = new Bar("left", Math.max(0, budgetLeft), Burn.percent(budgetLeft), colour);
        appendPlot(page, "Error budget", List.of(budget), 1, 1);
        appendPlot(page, "Burn rate (1 uses the budget up exactly)", rateBars(entry), 0, 1);
        appendPlot(page, "Requests lost, by cause", causeBars(entry), 0, 0);
        page.append("</section>\n");
    }

    private static List<Bar> rateBars(JsonNode entry) {
        List<Bar> bars = new ArrayList<>();
        for (String window : Burn.WINDOWS) {
            double rate = entry.path("burn").path(window).asDouble();
            bars.add(new Bar(window, rate, Burn.number(rate), rate > 1 ? "#b3261e" : "#2a7f4f"));
        }
        return bars;
    }

    private static List<Bar> causeBars(JsonNode entry) {
        List<Bar> bars = new ArrayList<>();
        entry.path("causes")
                .properties()
                .forEach(
                        c ->
                                bars.add(
                                        new Bar(
                                                c.getKey(),
                                                c.getValue().asDouble(),
                                                c.getValue().asText(),
                                                "#35608f")));
        return bars;
    }

    /**
     * Draws horizontal bars.
     *
     * @param scale the value of a bar of full width, or 0 to fit the longest bar
     * @param mark the value at which to draw a vertical line, or 0 for none; a fitted scale
     *     includes it
     */
    private static void appendPlot(
            StringBuilder page, String title, List<Bar> bars, double scale, double mark) {
        if (bars.isEmpty()) {
            return;
        }
        double longest = bars.stream().mapToDouble(Bar::value).max().orElse(0);
        double full = scale > 0 ? scale : Math.max(longest, Math.max(mark * 1.1, 1e-9));
        int height = bars.size() * ROW_HEIGHT;
        page.append("<figure><figcaption>").append(escape(title)).append("</figcaption>\n");
        page.append("<svg width=\"600\" height=\"").append(height);
        page.append("\" role=\"img\" aria-label=\"").append(escape(title)).append("\">\n");
        for (int i = 0; i < bars.size(); i++) {
            appendBar(page, bars.get(i), i * ROW_HEIGHT, full);
        }
        if (mark > 0) {
            double x = LABEL_WIDTH + BAR_WIDTH * mark / full;
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%d\" stroke=\"#555\""
                                    + " stroke-dasharray=\"3\"/>\n",
                            x,
                            x,
                            height));
        }
        page.append("</svg></figure>\n");
    }

    private static void appendBar(StringBuilder page, Bar bar, int y, double full) {
        double width = BAR_WIDTH * Math.min(1, Math.max(0, bar.value() / full));
        page.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>"
                                + "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\""
                                + " fill=\"%s\"/>"
                                + "<text x=\"%.1f\" y=\"%d\">%s</text>\n",
                        LABEL_WIDTH - 6,
                        y + 15,
                        escape(bar.label()),
                        LABEL_WIDTH,
                        y + 3,
                        width,
                        ROW_HEIGHT - 6,
                        bar.colour(),
                        LABEL_WIDTH + width + 6,
                        y + 15,
                        escape(bar.valueText())));
    }

    private static void appendCell(StringBuilder page, String text) {
        page.append("<td>").append(escape(text)).append("</td>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
