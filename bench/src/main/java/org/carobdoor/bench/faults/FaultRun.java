package org.carobdoor.bench.faults;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carobdoor.bench.cluster.ClusterSpec;
import org.carobdoor.bench.cluster.LocalCluster;
import org.carobdoor.bench.cluster.SampleEntries;

/**
 * A randomised run: six daemons as separate processes, traffic of all kinds, and faults drawn from
 * a seed. Exits with 1 if a promise was broken.
 *
 * <pre>
 * bin/bench faults --seed 7 --seconds 120
 * </pre>
 */
public final class FaultRun {
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final Duration READY = Duration.ofSeconds(90);

    /** After the last fault, so that takeovers and restarts come to an end. */
    private static final Duration SETTLE = Duration.ofSeconds(5);

    @Parameter(names = "--seed", description = "Seed of the faults; a fresh one if not given")
    private long seed = System.nanoTime();

    @Parameter(names = "--seconds", description = "How long faults are injected")
    private int seconds = 60;

    @Parameter(names = "--root", description = "The project's root")
    private String root = ".";

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private FaultRun() {}

    /** Runs the tool. */
    public static void main(String[] args) throws Exception {
        FaultRun run = new FaultRun();
        JCommander commander =
                JCommander.newBuilder().programName("bench faults").addObject(run).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("bench faults: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (run.help) {
            commander.usage();
            return;
        }
        System.exit(run.run() ? 0 : EXIT_VIOLATION);
    }

    private boolean run() throws Exception {
        Path rootDir = Path.of(root).toAbsolutePath().normalize();
        Path runDir = Files.createTempDirectory("carobdoor-faults");
        System.out.println("seed " + seed + ", " + seconds + " s of faults, logs in " + runDir);
        Violations violations = new Violations();
        BrokenNodes broken = new BrokenNodes();
        try (LocalCluster cluster = LocalCluster.start(ClusterSpec.small(), rootDir, runDir)) {
            cluster.awaitReady(READY);
            SampleEntries.create(cluster);
            List<Workload> workloads = workloads(cluster, broken, violations);
            AtomicBoolean stop = new AtomicBoolean();
            List<Thread> threads = new ArrayList<>();
            for (Workload w : workloads) {
                threads.add(Thread.ofVirtual().start(() -> repeat(w, stop, violations)));
            }
            injectFaults(cluster, broken, violations);
            Thread.sleep(SETTLE);
            stop.set(true);
            for (Thread t : threads) {
                t.join();
            }
            for (Workload w : workloads) {
                w.checkAtEnd();
                System.out.println(w.summary());
            }
            new InvariantScan(cluster, runDir, violations).run();
        }
        List<String> all = violations.all();
        System.out.println("seed " + seed + ": " + all.size() + " violations");
        all.forEach(v -> System.out.println("  " + v));
        return all.isEmpty();
    }

    private List<Workload> workloads(
            LocalCluster cluster, BrokenNodes broken, Violations violations) {
        SplittableRandom random = new SplittableRandom(seed);
        return List.of(
                new BidWorkload(cluster, violations, random.split()),
                new StreamWorkload(cluster, broken, violations, random.split()),
                new StreamWorkload(cluster, broken, violations, random.split()),
                new SubmitWorkload(cluster, violations, random.split()),
                new SubmitWorkload(cluster, violations, random.split()),
                new CatalogueWorkload(cluster, violations, random.split()));
    }

    private static void repeat(Workload workload, AtomicBoolean stop, Violations violations) {
        try {
            while (!stop.get()) {
                workload.round();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            violations.add("a workload failed: " + e);
        }
    }

    private void injectFaults(LocalCluster cluster, BrokenNodes broken, Violations violations)
            throws InterruptedException {
        FaultPlan plan = new FaultPlan(cluster, seed);
        FaultInjector injector = new FaultInjector(cluster, broken, violations);
        List<Thread> active = new ArrayList<>();
        Instant end = Instant.now().plusSeconds(seconds);
        while (Instant.now().isBefore(end)) {
            Fault fault = plan.next();
            active.add(Thread.ofVirtual().start(() -> injector.run(fault)));
            Thread.sleep(plan.nextPauseMillis());
        }
        for (Thread t : active) {
            t.join();
        }
    }
}
