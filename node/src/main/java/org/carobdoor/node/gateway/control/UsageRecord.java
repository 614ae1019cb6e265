package org.carobdoor.node.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.Bytes;
import org.carobdoor.internal.duty.ClusterUsage;

/**
 * The value of the key that holds the usage counts: a line {@code window account=count ...} for
 * each window.
 */
final class UsageRecord {
    private UsageRecord() {}

    static Bytes encode(Map<Long, Map<String, Long>> windows) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(windows)
                .forEach(
                        (window, counts) -> {
                            text.append(window);
                            new TreeMap<>(counts)
                                    .forEach(
                                            (a, n) ->
                                                    text.append(' ')
                                                            .append(a)
                                                            .append('=')
                                                            .append(n));
                            text.append('\n');
                        });
        return Bytes.utf8(text.toString());
    }

    static Bytes encodeOpen(Map<Long, Map<String, Map<String, Long>>> byWindow) {
        StringBuilder text = new StringBuilder();
        byWindow.forEach(
                (window, runs) ->
                        runs.forEach(
                                (run, counts) ->
                                        text.append(run)
                                                .append(' ')
                                                .append(encode(Map.of(window, counts)).toUtf8())));
        return Bytes.utf8(text.toString());
    }

    /** Adds the counts of a value of {@link #encodeOpen} to {@code usage}. */
    static void decodeOpen(Bytes value, ClusterUsage usage) {
        for (String line : value.toUtf8().split("\n", -1)) {
            int space = line.indexOf(' ');
            if (space > 0) {
                decode(Bytes.utf8(line.substring(space + 1)))
                        .forEach((w, counts) -> usage.report(line.substring(0, space), w, counts));
            }
        }
    }

    /** Decodes a value; lines that are malformed are passed over, since only nodes write it. */
    static Map<Long, Map<String, Long>> decode(Bytes value) {
        Map<Long, Map<String, Long>> windows = new HashMap<>();
        for (String line : value.toUtf8().split("\n", -1)) {
            String[] words = line.split(" ", -1);
            if (!words[0].matches("-?\\d{1,18}")) {
                continue;
            }
            Map<String, Long> counts = new HashMap<>();
            for (int i = 1; i < words.length; i++) {
                int eq = words[i].lastIndexOf('=');
                if (eq > 0 && words[i].substring(eq + 1).matches("\\d{1,18}")) {
                    counts.put(
                            words[i].substring(0, eq), Long.parseLong(words[i].substring(eq + 1)));
                }
            }
            windows.put(Long.parseLong(words[0]), counts);
        }
        return windows;
    }
}
