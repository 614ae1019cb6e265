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
 * Runs six daemons as separate processes under mixed traffic and injects faults generated from a
 * seed. Exits with status 1 if a guarantee was violated.
 *
 * <pre>
 * bin/bench faults --seed 7 --seconds 120
 * </pre>
 */
public final class FaultRun {
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);

    /** The time for takeovers and restarts to complete after the last fault. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

    @Parameter(
            names = "--seed",
            description = "Seed of the faults; derived from the clock if not given")
    private long seed = System.nanoTime();

    @Parameter(names = "--seconds", description = "Duration of fault injection")
    private int seconds = 60;

    @Parameter(names = "--root", description = "Project root directory")
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
        ConnectionFaultWindows faultWindows = new ConnectionFaultWindows();
        try (LocalCluster cluster = LocalCluster.start(ClusterSpec.small(), rootDir, runDir)) {
            cluster.awaitReady(READY_TIMEOUT);
            SampleEntries.create(cluster);
            List<Workload> workloads = workloads(cluster, faultWindows, violations);
            AtomicBoolean stop = new AtomicBoolean();
            List<Thread> threads = new ArrayList<>();
            for (Workload w : workloads) {
                threads.add(Thread.ofVirtual().start(() -> runUntilStopped(w, stop, violations)));
            }
            injectFaults(cluster, faultWindows, violations);
            Thread.sleep(RECOVERY_TIME);
            stop.set(true);
            for (Thread t : threads) {
                t.join();
            }
            for (Workload w : workloads) {
                w.checkAfterFaults();
                System.out.println(w.summary());
            }
            new InvariantLogScan(cluster, runDir, violations).run();
        }
        List<String> all = violations.all();
        System.out.println("seed " + seed + ": " + all.size() + " violations");
        all.forEach(v -> System.out.println("  " + v));
        return all.isEmpty();
    }

    private List<Workload> workloads(
            LocalCluster cluster, ConnectionFaultWindows faultWindows, Violations violations) {
        SplittableRandom random = new SplittableRandom(seed);
        return List.of(
                new BidWorkload(cluster, violations, random.split()),
                new StreamWorkload(cluster, faultWindows, violations, random.split()),
                new StreamWorkload(cluster, faultWindows, violations, random.split()),
                new SubmitWorkload(cluster, violations, random.split()),
                new SubmitWorkload(cluster, violations, random.split()),
                new CatalogueWorkload(cluster, violations, random.split()));
    }

    private static void runUntilStopped(
            Workload workload, AtomicBoolean stop, Violations violations) {
        try {
            while (!stop.get()) {
                workload.runRound();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            violations.add("workload failed: " + e);
        }
    }

    private void injectFaults(
            LocalCluster cluster, ConnectionFaultWindows faultWindows, Violations violations)
            throws InterruptedException {
        FaultGenerator generator = new FaultGenerator(cluster, seed);
        FaultInjector injector = new FaultInjector(cluster, faultWindows, violations);
        List<Thread> active = new ArrayList<>();
        Instant end = Instant.now().plusSeconds(seconds);
        while (Instant.now().isBefore(end)) {
            Fault fault = generator.next();
            active.add(Thread.ofVirtual().start(() -> injector.run(fault)));
            Thread.sleep(generator.nextDelayMillis());
        }
        for (Thread t : active) {
            t.join();
        }
    }
}
