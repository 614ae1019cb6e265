package org.carobdoor.node.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.Bytes;
import org.carobdoor.internal.duty.ClusterUsage;

/**
 * Encodes and decodes the usage counts in the store. Reported counts have one line {@code window
 * account=count ...} for each window; in unreported counts each line begins with the node's run.
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

    static Bytes encodeUnreported(Map<Long, Map<String, Map<String, Long>>> byWindow) {
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

    /** Adds counts that {@link #encodeUnreported} encoded to {@code usage}. */
    static void decodeUnreported(Bytes value, ClusterUsage usage) {
        for (String line : value.toUtf8().split("\n", -1)) {
            int space = line.indexOf(' ');
            if (space > 0) {
                decode(Bytes.utf8(line.substring(space + 1)))
                        .forEach((w, counts) -> usage.report(line.substring(0, space), w, counts));
            }
        }
    }

    /** Decodes reported counts; ignores malformed lines, since only nodes write the key. */
    static Map<Long, Map<String, Long>> decode(Bytes value) {
        Map<Long, Map<String, Long>> windows = new HashMap<>();
        for (String line : value.toUtf8().split("\n", -1)) {
            String[] fields = line.split(" ", -1);
            if (!fields[0].matches("-?\\d{1,18}")) {
                continue;
            }
            Map<String, Long> counts = new HashMap<>();
            for (int i = 1; i < fields.length; i++) {
                int equalsSign = fields[i].lastIndexOf('=');
                if (equalsSign > 0 && fields[i].substring(equalsSign + 1).matches("\\d{1,18}")) {
                    counts.put(
                            fields[i].substring(0, equalsSign),
                            Long.parseLong(fields[i].substring(equalsSign + 1)));
                }
            }
            windows.put(Long.parseLong(fields[0]), counts);
        }
        return windows;
    }
}
