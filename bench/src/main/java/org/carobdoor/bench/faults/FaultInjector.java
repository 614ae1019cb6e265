package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.carobdoor.bench.cluster.LocalCluster;

/** Carries out faults and repairs them. */
final class FaultInjector {
    private static final Duration NODE_START = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);
    private static final long LEAVING_BOUND_MILLIS = 3_000;

    /**
     * Time after a fault that takes nodes until the next one. Copies of accepted work need a second
     * holder again; losing both within one detection time is not promised to be survived.
     */
    private static final long NODE_RECOVERY_MILLIS = 10_000;

    private final LocalCluster cluster;
    private final Violations violations;
    private final Semaphore nodes = new Semaphore(1);
    private final Semaphore platform = new Semaphore(1);

    FaultInjector(LocalCluster cluster, Violations violations) {
        this.cluster = cluster;
        this.violations = violations;
    }

    /** Carries out {@code fault} on the calling thread; returns when it is repaired. */
    void run(Fault fault) {
        try {
            if (fault.takesNodes()) {
                if (nodes.tryAcquire()) {
                    try {
                        carryOut(fault);
                        Thread.sleep(NODE_RECOVERY_MILLIS);
                    } finally {
                        nodes.release();
                    }
                }
                return;
            }
            carryOut(fault);
        } catch (IOException e) {
            violations.add("the run itself failed at " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void carryOut(Fault fault) throws IOException, InterruptedException {
        System.out.println(Instant.now() + " fault " + fault);
        switch (fault) {
            case Fault.KillNode f -> replaceNodes(List.of(f.node()), f.millis());
            case Fault.KillZone f ->
                    replaceNodes(
                            cluster.nodeNames().stream()
                                    .filter(n -> LocalCluster.zoneOf(n).equals(f.zone()))
                                    .toList(),
                            f.millis());
            case Fault.PauseNode f -> {
                cluster.process(f.node()).pause();
                Thread.sleep(f.millis());
                cluster.process(f.node()).resume();
            }
            case Fault.StopNode f -> stopNode(f.node());
            case Fault.PlatformDown f -> platform("\"down\": true", "\"down\": false", f);
            case Fault.PlatformSlow f ->
                    platform("\"slowMillis\": " + f.delayMillis(), "\"slowMillis\": 0", f);
            case Fault.LoseAnswers f ->
                    platform("\"loseAnswers\": " + f.count(), "\"loseAnswers\": 0", f);
            case Fault.ReclaimEngine f -> reclaim(f.engine(), f.millis());
            case Fault.KillEngine f -> {
                cluster.process(f.engine()).kill();
                Thread.sleep(f.millis());
                cluster.replaceEngine(f.engine());
            }
            case Fault.SilentEngine f ->
                    control(f.engine(), "\"silent\": true", "\"silent\": false", f);
            case Fault.LoseServiceAnswers f ->
                    control(f.service(), "\"loseAnswers\": " + f.count(), "\"loseAnswers\": 0", f);
        }
    }

    private void replaceNodes(List<String> names, long millis)
            throws IOException, InterruptedException {
        for (String n : names) {
            cluster.process(n).kill();
        }
        Thread.sleep(millis);
        startNodes(names);
    }

    private void stopNode(String name) throws IOException {
        cluster.process(name).terminate();
        if (!cluster.process(name).await(STOP_TIMEOUT)) {
            violations.add("P6 " + name + " did not stop in " + STOP_TIMEOUT.toSeconds() + " s");
        }
        startNodes(List.of(name));
    }

    private void startNodes(List<String> names) throws IOException {
        for (String n : names) {
            cluster.startNode(n);
        }
        Instant deadline = Instant.now().plus(NODE_START);
        for (String n : names) {
            cluster.awaitNode(n, deadline);
        }
    }

    private void platform(String fault, String repaired, Fault f)
            throws IOException, InterruptedException {
        platform.acquire();
        try {
            control("platform", fault, repaired, f);
        } finally {
            platform.release();
        }
    }

    private void control(String process, String fault, String repaired, Fault f)
            throws IOException, InterruptedException {
        String url = cluster.url(process) + "/control/faults";
        cluster.http().post(url, "", "{" + fault + "}");
        Thread.sleep(f.millis());
        cluster.http().post(url, "", "{" + repaired + "}");
    }

    private void reclaim(String engine, long noticeMillis)
            throws IOException, InterruptedException {
        String body =
                "{\"vmId\": \""
                        + cluster.vmId(engine)
                        + "\", \"noticeMillis\": "
                        + noticeMillis
                        + "}";
        cluster.http().post(cluster.url("platform") + "/control/reclaim", "", body);
        long noticed = System.currentTimeMillis();
        Thread.sleep(noticeMillis - 500);
        checkNoNewWork(engine, noticed);
        cluster.process(engine).kill();
        cluster.replaceEngine(engine);
    }

    private void checkNoNewWork(String engine, long noticed) throws IOException {
        String ledger = cluster.http().get(cluster.url(engine) + "/ledger", "").body();
        for (JsonNode r : cluster.http().json(ledger).path("requests")) {
            long received = r.path("receivedAtMillis").asLong();
            if (received > noticed + LEAVING_BOUND_MILLIS) {
                violations.add(
                        "P5 " + engine + " got work " + (received - noticed) + " ms after notice");
            }
        }
    }
}
