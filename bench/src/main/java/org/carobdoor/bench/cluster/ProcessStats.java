package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory of a process, from {@code /proc}.
 *
 * @param cpuSeconds processor time used since the start of the process, user and system
 * @param residentBytes resident memory now
 */
public record ProcessStats(double cpuSeconds, long residentBytes) {
    /** Linux reports processor time in ticks of this many a second on all usual platforms. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 13;
    private static final int SYSTEM_TIME_FIELD = 14;
    private static final long KIB = 1024;

    /** Reads the statistics of the process {@code pid}. */
    public static ProcessStats of(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        // The command's name can hold spaces, so fields are counted from after it.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD - 2])
                        + Long.parseLong(fields[SYSTEM_TIME_FIELD - 2]);
        return new ProcessStats(ticks / TICKS_PER_SECOND, residentBytes(pid));
    }

    private static long residentBytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .map(l -> Long.parseLong(l.replaceAll("\\D", "")) * KIB)
                .findFirst()
                .orElse(0L);
    }
}
