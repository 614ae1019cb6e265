package org.carobdoor.clients.toml;

import java.util.ArrayList;
import java.util.List;

/** Collects the problems of one TOML text, so that all of them are reported at once. */
public final class TomlProblems {
    private final String file;
    private final List<String> lines;
    private final List<String> problems = new ArrayList<>();

    /** Creates an empty collection for {@code text}, which was read from {@code file}. */
    public TomlProblems(String file, String text) {
        this.file = file;
        this.lines = text.lines().toList();
    }

    /** Adds a problem of the key {@code path}, whose last part is looked up for the line number. */
    public void add(String path, String problem) {
        int line = lineOf(path.substring(path.lastIndexOf('.') + 1));
        String where = line > 0 ? file + ":" + line : file;
        problems.add(where + ": " + path + ": " + problem);
    }

    /** Adds a problem of the line {@code line}, counted from 1. */
    public void addAtLine(int line, String problem) {
        problems.add(file + ":" + line + ": " + problem);
    }

    /** Returns whether there are no problems. */
    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** Returns the problems, one a line. */
    @Override
    public String toString() {
        return String.join("\n", problems);
    }

    private int lineOf(String key) {
        // The parser keeps no positions, so the line is that of the first mention of the key.
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            boolean assignment =
                    line.startsWith(key) && line.substring(key.length()).matches("\\s*=.*");
            boolean header =
                    line.matches("\\[+([\\w-]+\\.)*" + java.util.regex.Pattern.quote(key) + "]+.*");
            if (assignment || header) {
                return i + 1;
            }
        }
        return 0;
    }
}
