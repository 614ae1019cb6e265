package org.carobdoor.node.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.RecordedUsage;

/**
 * The form of usage counts in the store that earlier releases read and write. Reported counts have
 * one line {@code window account=count ...} for each window; in unreported counts each line begins
 * with the node's run.
 *
 * <p>Names are not escaped. A line that cannot be told apart from one with other names is left out
 * when it is read.
 */
final class UsageText {
    private static final String WINDOW = "-?\\d{1,18}";
    private static final String COUNT = "\\d{1,18}";

    private UsageText() {}

    static String encode(Map<Long, Map<String, Long>> windows) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(windows)
                .forEach((window, counts) -> text.append(line(window, counts)).append('\n'));
        return text.toString();
    }

    static String encodeUnreported(Map<Long, Map<String, Map<String, Long>>> windows) {
        StringBuilder text = new StringBuilder();
        windows.forEach(
                (window, runs) ->
                        runs.forEach(
                                (run, counts) ->
                                        text.append(run)
                                                .append(' ')
                                                .append(line(window, counts))
                                                .append('\n')));
        return text.toString();
    }

    private static String line(long window, Map<String, Long> counts) {
        StringBuilder line = new StringBuilder().append(window);
        new TreeMap<>(counts).forEach((a, n) -> line.append(' ').append(a).append('=').append(n));
        return line.toString();
    }

    /** Decodes reported counts; a line that is left out still counts as a recorded window. */
    static RecordedUsage decode(String text) {
        Map<Long, Map<String, Long>> windows = new HashMap<>();
        long last = Long.MIN_VALUE;
        for (String line : text.split("\n", -1)) {
            String[] fields = line.split(" ", -1);
            if (fields[0].matches(WINDOW)) {
                long window = Long.parseLong(fields[0]);
                last = Math.max(last, window);
                Map<String, Long> counts = counts(fields);
                if (line(window, counts).equals(line)) {
                    windows.put(window, counts);
                }
            }
        }
        return new RecordedUsage(windows, last);
    }

    /** Adds counts that are not reported yet to {@code usage}. */
    static void decodeUnreported(String text, ClusterUsage usage) {
        for (String line : text.split("\n", -1)) {
            int space = line.indexOf(' ');
            if (space > 0) {
                decode(line.substring(space + 1))
                        .windows()
                        .forEach((w, counts) -> usage.report(line.substring(0, space), w, counts));
            }
        }
    }

    private static Map<String, Long> counts(String[] fields) {
        Map<String, Long> counts = new HashMap<>();
        for (int i = 1; i < fields.length; i++) {
            int equalsSign = fields[i].lastIndexOf('=');
            if (equalsSign > 0 && fields[i].substring(equalsSign + 1).matches(COUNT)) {
                counts.put(
                        fields[i].substring(0, equalsSign),
                        Long.parseLong(fields[i].substring(equalsSign + 1)));
            }
        }
        return counts;
    }
}
