package org.carobdoor.bench;

import java.util.Arrays;
import org.carobdoor.bench.claims.ClaimBench;
import org.carobdoor.bench.experiment.DecisionTiming;
import org.carobdoor.bench.experiment.Experiments;
import org.carobdoor.bench.faults.FaultRun;
import org.carobdoor.bench.latency.NodeLatency;
import org.carobdoor.bench.membership.MembershipScale;
import org.carobdoor.bench.quickstart.Quickstart;
import org.carobdoor.bench.work.WorkBench;

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
            case "claims" -> ClaimBench.main(rest);
            case "membership" -> MembershipScale.main(rest);
            case "work" -> WorkBench.main(rest);
            case "experiments" -> Experiments.main(rest);
            case "decisions" -> DecisionTiming.main(rest);
            default -> {
                System.err.println("usage: bench TOOL [options]");
                System.err.println("  quickstart   the guided tour");
                System.err.println("  latency      what a node adds: time, processor, memory");
                System.err.println("  faults       randomised faults against separate processes");
                System.err.println("  claims       added time and writes of claims");
                System.err.println("  membership   traffic and detection time up to 380 nodes");
                System.err.println("  work         cost of accepted work");
                System.err.println("  experiments  routing, shedding, resumption, fleet");
                System.err.println("  decisions    time of routing decisions and view updates");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
