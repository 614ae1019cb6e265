package org.carobdoor.bench;

import java.util.Arrays;
import org.carobdoor.bench.claims.ClaimBench;
import org.carobdoor.bench.experiment.DecisionTiming;
import org.carobdoor.bench.experiment.Experiments;
import org.carobdoor.bench.faults.FaultRun;
import org.carobdoor.bench.faults.GatewaySoak;
import org.carobdoor.bench.latency.NodeLatency;
import org.carobdoor.bench.membership.MembershipScale;
import org.carobdoor.bench.quickstart.Quickstart;
import org.carobdoor.bench.work.WorkBench;

/** The entry point of {@code bin/bench <tool> [options]}, which runs a tool of this module. */
public final class Bench {
    private static final int EXIT_USAGE = 2;

    private Bench() {}

    /** Runs the tool named by the first argument with the remaining arguments. */
    public static void main(String[] args) throws Exception {
        String tool = args.length == 0 ? "" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (tool) {
            case "quickstart" -> Quickstart.main(rest);
            case "latency" -> NodeLatency.main(rest);
            case "faults" -> FaultRun.main(rest);
            case "gateway-soak" -> GatewaySoak.main(rest);
            case "claims" -> ClaimBench.main(rest);
            case "membership" -> MembershipScale.main(rest);
            case "work" -> WorkBench.main(rest);
            case "experiments" -> Experiments.main(rest);
            case "decisions" -> DecisionTiming.main(rest);
            default -> {
                System.err.println("usage: bench TOOL [options]");
                System.err.println("  quickstart   end-to-end walkthrough on a local cluster");
                System.err.println("  latency      latency, CPU time and memory added by a node");
                System.err.println(
                        "  faults       randomised fault injection into separate processes");
                System.err.println(
                        "  gateway-soak randomised faults of gateways and engines that crash");
                System.err.println("  claims       latency and store writes added by claims");
                System.err.println(
                        "  membership   traffic and failure detection time, up to 380 nodes");
                System.err.println("  work         messages, CPU time and memory of accepted work");
                System.err.println(
                        "  experiments  routing, shedding, resumption and fleet policies");
                System.err.println("  decisions    duration of routing decisions and view updates");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
