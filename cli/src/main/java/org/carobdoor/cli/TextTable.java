package org.carobdoor.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as a text table with aligned columns. */
final class TextTable {
    private final List<String[]> rows = new ArrayList<>();

    TextTable(String... header) {
        rows.add(header);
    }

    TextTable addRow(Object... cells) {
        String[] texts = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            texts[i] = String.valueOf(cells[i]);
        }
        rows.add(texts);
        return this;
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.getFirst().length];
        for (String[] row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        var text = new StringBuilder();
        for (String[] row : rows) {
            var line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
