package org.carobdoor.bench.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.carobdoor.bench.experiment.Scenario.ReclaimWave;
import org.carobdoor.bench.experiment.Scenario.Resumption;
import org.carobdoor.bench.experiment.Scenario.Routing;
import org.carobdoor.internal.fleet.FleetNeed;

/**
 * Prints the tables of {@code docs/measurements/policy.md}.
 *
 * <pre>{@code
 * java -cp bench-all.jar org.carobdoor.bench.experiment.Experiments --seeds 10 --only routing
 * }</pre>
 */
public final class Experiments {
    /**
     * The fleet capacity per workload. The default rates are the highest at which it meets the
     * objective.
     */
    private static final FleetNeed AUCTIONS_NEED = new FleetNeed(800, 200);

    private static final FleetNeed DEBATING_NEED = new FleetNeed(700, 200);

    @Parameter(names = "--seeds", description = "number of seeds; runs seeds 1 to this number")
    private int seeds = 10;

    @Parameter(
            names = "--only",
            description = "run only this experiment: routing, resumption, fleet or shedding")
    private String only = "";

    @Parameter(names = "--auctions-rate", description = "requests per second")
    private double auctionsRate = 24;

    @Parameter(names = "--debating-rate", description = "requests per second")
    private double debatingRate = 11;

    @Parameter(names = "--seconds", description = "duration of request arrivals, in seconds")
    private int seconds = 300;

    private Experiments() {}

    /** Runs the experiments that the arguments name. */
    public static void main(String[] args) {
        Experiments e = new Experiments();
        JCommander.newBuilder().addObject(e).build().parse(args);
        for (Scenario base : List.of(e.auctions(), e.debating())) {
            e.run("routing", base, e.routing(base));
            e.run("resumption", base, e.resumption(base));
            e.run("fleet", base, e.fleet(base));
            e.run("shedding", base, e.shedding(base));
        }
    }

    private Scenario auctions() {
        return base(Workload.auctions(auctionsRate), AUCTIONS_NEED);
    }

    private Scenario debating() {
        return base(Workload.debating(debatingRate), DEBATING_NEED);
    }

    private Scenario base(Workload workload, FleetNeed need) {
        return new Scenario(
                workload,
                Routing.AFFINITY,
                Resumption.EXPORT,
                o -> true,
                need,
                6,
                seconds,
                List.of(),
                5,
                false);
    }

    private Map<String, Scenario> routing(Scenario base) {
        Map<String, Scenario> out = new LinkedHashMap<>();
        for (Routing r : Routing.values()) {
            out.put(r.name(), base.with(r));
        }
        return out;
    }

    private Map<String, Scenario> resumption(Scenario base) {
        List<ReclaimWave> waves = new ArrayList<>();
        for (int at = 30; at + 60 <= seconds; at += 100) {
            waves.add(new ReclaimWave(at, "", 0.3));
        }
        Map<String, Scenario> out = new LinkedHashMap<>();
        for (Resumption r : Resumption.values()) {
            out.put(r.name(), withWaves(base.with(r), waves, 5));
        }
        out.put("EXPORT_2S_NOTICE", withWaves(base.with(Resumption.EXPORT), waves, 2));
        return out;
    }

    private Map<String, Scenario> fleet(Scenario base) {
        List<ReclaimWave> waves = new ArrayList<>();
        waves.add(new ReclaimWave(300, "a", 1));
        for (int at = 480; at < seconds * 6; at += 240) {
            waves.add(new ReclaimWave(at, "", 0.1));
        }
        Scenario s =
                new Scenario(
                        base.workload(),
                        base.routing(),
                        base.resumption(),
                        base.offers(),
                        base.need(),
                        base.nodes(),
                        seconds * 6,
                        waves,
                        5,
                        false);
        double r = base.need().capacity();
        Map<String, Scenario> out = new LinkedHashMap<>();
        out.put("PLANNER", s.withFleet(base.offers(), new FleetNeed(r, 0)));
        out.put("PLANNER_ON_DEMAND_FLOOR", s);
        out.put("ON_DEMAND_SPREAD", s.withFleet(o -> !o.reclaimable(), new FleetNeed(r, r)));
        out.put(
                "ON_DEMAND_ONE_ZONE",
                s.withFleet(
                        o -> !o.reclaimable() && o.zone().value().equals("a"),
                        new FleetNeed(r, r)));
        out.put(
                "CHEAPEST_ONLY",
                s.withFleet(
                        o -> o.reclaimable() && o.zone().value().equals("a"),
                        new FleetNeed(r * 1.5, 0)));
        return out;
    }

    private Map<String, Scenario> shedding(Scenario base) {
        Workload w = base.workload();
        Map<String, Scenario> out = new LinkedHashMap<>();
        for (double factor : new double[] {1, 2, 3}) {
            Workload more = w.atRate(w.requestsPerSecond() * factor);
            Scenario s = base(more, base.need());
            out.put("LOAD_X" + factor + "_NO_ADMISSION", s);
            out.put("LOAD_X" + factor, withAdmission(s));
        }
        return out;
    }

    private static Scenario withWaves(Scenario s, List<ReclaimWave> waves, double notice) {
        return new Scenario(
                s.workload(),
                s.routing(),
                s.resumption(),
                s.offers(),
                s.need(),
                s.nodes(),
                s.seconds(),
                waves,
                notice,
                s.admissionEnabled());
    }

    private static Scenario withAdmission(Scenario s) {
        return new Scenario(
                s.workload(),
                s.routing(),
                s.resumption(),
                s.offers(),
                s.need(),
                s.nodes(),
                s.seconds(),
                s.waves(),
                s.noticeSeconds(),
                true);
    }

    private void run(String name, Scenario base, Map<String, Scenario> variants) {
        if (!only.isEmpty() && !only.equals(name)) {
            return;
        }
        System.out.printf(
                "%n### %s, %s: %.1f requests/s, need %.0f, seeds 1 to %d%n%n",
                name,
                base.workload().name(),
                base.workload().requestsPerSecond(),
                base.need().capacity(),
                seeds);
        Table.printHead();
        List<RunMetrics> first = List.of();
        for (var variant : variants.entrySet()) {
            Scenario scenario = variant.getValue();
            // Runs share no state, so they can run in parallel.
            List<RunMetrics> runs =
                    LongStream.rangeClosed(1, seeds)
                            .parallel()
                            .mapToObj(seed -> ExperimentRun.execute(scenario, seed))
                            .toList();
            first = first.isEmpty() ? runs : first;
            Table.printRow(variant.getKey(), runs, first);
        }
    }

    /** A Markdown table whose cells show the median, minimum and maximum over all seeds. */
    private static final class Table {
        static void printHead() {
            System.out.println(
                    "| variant | first token p95 ms | class 1 p95 ms | token gap p95 ms |"
                            + " finished | failed | interrupted | exported | recomputed tokens |"
                            + " prompt computed % | cost | shed 1/2/3/4 % |"
                            + " class 1 shed: lower class admissible / admitted within 1 s |"
                            + " seeds on which the first row's first token p95 is no worse |");
            System.out.println("|" + "---|".repeat(14));
        }

        static void printRow(String name, List<RunMetrics> runs, List<RunMetrics> first) {
            StringBuilder out = new StringBuilder("| " + name);
            for (int i = 0; i < 3; i++) {
                int k = i;
                add(out, runs, o -> o.p95(k), "%.0f");
            }
            add(out, runs, o -> o.finished, "%.0f");
            add(out, runs, o -> o.failed, "%.0f");
            add(out, runs, o -> o.interrupted, "%.0f");
            add(out, runs, o -> o.exported, "%.0f");
            add(out, runs, o -> o.recomputed, "%.0f");
            add(out, runs, o -> 100.0 * o.promptComputed / Math.max(1, o.promptTotal), "%.1f");
            add(out, runs, o -> o.cost, "%.2f");
            out.append(" | ");
            for (int c = 1; c <= 4; c++) {
                long shed = 0;
                long offered = 0;
                for (RunMetrics o : runs) {
                    shed += o.shed[c];
                    offered += o.offered[c];
                }
                out.append(c > 1 ? "/" : "").append(String.format("%.1f", 100.0 * shed / offered));
            }
            out.append(" | ").append(runs.stream().mapToLong(o -> o.priorityInversions).sum());
            out.append(" / ").append(runs.stream().mapToLong(o -> o.shedAfterLowerAdmitted).sum());
            long noWorse = 0;
            for (int i = 0; i < runs.size(); i++) {
                noWorse += first.get(i).p95(0) <= runs.get(i).p95(0) ? 1 : 0;
            }
            out.append(" | ").append(noWorse).append(" |");
            System.out.println(out);
        }

        private static void add(
                StringBuilder out,
                List<RunMetrics> runs,
                ToDoubleFunction<RunMetrics> f,
                String format) {
            add(out, runs.stream().mapToDouble(f).toArray(), format);
        }

        private static void add(StringBuilder out, double[] values, String format) {
            out.append(" | ").append(RunMetrics.summary(values, format));
        }
    }
}
