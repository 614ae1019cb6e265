package org.carobdoor.bench;

import java.util.Arrays;
import org.carobdoor.bench.faults.FaultRun;
import org.carobdoor.bench.latency.NodeLatency;
import org.carobdoor.bench.quickstart.Quickstart;

/** The command that runs the tools of this module: {@code bin/bench <tool> [options]}. */
public final class Bench {
    private static final int EXIT_USAGE = 2;

    private Bench() {}

    /** Runs one tool. */
    public static void main(String[] args) throws Exception {
        String tool = args.length == 0 ? "" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (tool) {
            case "quickstart" -> Quickstart.main(rest);
            case "latency" -> NodeLatency.main(rest);
            case "faults" -> FaultRun.main(rest);
            default -> {
                System.err.println("usage: bench quickstart|latency|faults [options]");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
