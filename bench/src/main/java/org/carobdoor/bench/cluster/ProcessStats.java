package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * CPU time and memory of a process, read from {@code /proc}.
 *
 * @param cpuSeconds user and system CPU time since the start of the process
 * @param residentBytes the current resident set size
 */
public record ProcessStats(double cpuSeconds, long residentBytes) {
    /** The value of USER_HZ on all common Linux platforms. */
    private static final double CLOCK_TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 13;
    private static final int SYSTEM_TIME_FIELD = 14;
    private static final long KIB = 1024;

    /** Reads the statistics of the process {@code pid}. */
    public static ProcessStats of(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        // The command name can contain spaces, so fields are counted from behind it.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD - 2])
                        + Long.parseLong(fields[SYSTEM_TIME_FIELD - 2]);
        return new ProcessStats(ticks / CLOCK_TICKS_PER_SECOND, residentBytes(pid));
    }

    private static long residentBytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .map(l -> Long.parseLong(l.replaceAll("\\D", "")) * KIB)
                .findFirst()
                .orElse(0L);
    }
}
