package org.carobdoor.clients.toml;

import java.util.ArrayList;
import java.util.List;

/** Collects the problems found in one TOML file, so that all of them are reported at once. */
public final class TomlProblems {
    private final String file;
    private final List<String> lines;
    private final List<String> problems = new ArrayList<>();

    /** Creates an empty collection for the {@code text} of {@code file}. */
    public TomlProblems(String file, String text) {
        this.file = file;
        this.lines = text.lines().toList();
    }

    /**
     * Adds a problem of the key {@code path}. The line number is found by searching for the last
     * part of the path.
     */
    public void add(String path, String problem) {
        int line = lineOf(path.substring(path.lastIndexOf('.') + 1));
        String location = line > 0 ? file + ":" + line : file;
        problems.add(location + ": " + path + ": " + problem);
    }

    /** Adds a problem at {@code line}, counted from 1. */
    public void addAtLine(int line, String problem) {
        problems.add(file + ":" + line + ": " + problem);
    }

    /** Returns whether there are no problems. */
    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** Returns the problems, one per line. */
    @Override
    public String toString() {
        return String.join("\n", problems);
    }

    private int lineOf(String key) {
        // The parser keeps no positions, so the first line that has the key is reported.
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
