package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.carobdoor.bench.cluster.LocalCluster;

/** Carries out faults and repairs them. */
final class FaultInjector {
    private static final Duration NODE_START = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);

    /** Streams of a node that was paused longer than it takes to declare it dead are given up. */
    private static final Duration AFTER_PAUSE = Duration.ofSeconds(15);

    private static final long LEAVING_BOUND_MILLIS = 3_000;

    /**
     * Time after a fault that takes nodes until the next one. Copies of accepted work need a second
     * holder again; losing both within one detection time is not promised to be survived.
     */
    private static final long NODE_RECOVERY_MILLIS = 10_000;

    private final LocalCluster cluster;
    private final BrokenNodes broken;
    private final Violations violations;
    private final Semaphore nodes = new Semaphore(1);
    private final Semaphore platform = new Semaphore(1);

    FaultInjector(LocalCluster cluster, BrokenNodes broken, Violations violations) {
        this.broken = broken;
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
            case Fault.KillZone f -> replaceNodes(nodesOf(f.zone()), f.millis());
            case Fault.ReclaimNode f -> reclaimNodes(List.of(f.node()), f.millis());
            case Fault.ReclaimZone f -> reclaimNodes(nodesOf(f.zone()), f.millis());
            case Fault.PauseNode f -> {
                broken.mark(f.node(), Instant.now().plusMillis(f.millis()).plus(AFTER_PAUSE));
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
        names.forEach(this::kill);
        Thread.sleep(millis);
        startNodes(names);
    }

    private void kill(String node) {
        broken.mark(node, Instant.now().plusSeconds(1));
        cluster.process(node).kill();
    }

    private List<String> nodesOf(String zone) {
        return cluster.nodeNames().stream()
                .filter(n -> LocalCluster.zoneOf(n).equals(zone))
                .toList();
    }

    private void reclaimNodes(List<String> names, long noticeMillis)
            throws IOException, InterruptedException {
        for (String n : names) {
            announce(n, noticeMillis);
        }
        // The first of several dies partway through its handover.
        if (names.size() > 1) {
            Thread.sleep(noticeMillis / 20);
            kill(names.getFirst());
        }
        Thread.sleep(noticeMillis);
        names.forEach(this::kill);
        startNodes(names);
    }

    private void announce(String name, long noticeMillis) throws IOException {
        String body = "{\"vmId\": \"%s\", \"noticeMillis\": %d}";
        cluster.http()
                .post(
                        cluster.url("platform") + "/control/reclaim",
                        "",
                        body.formatted(cluster.vmId(name), noticeMillis));
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
        change(process, fault);
        Thread.sleep(f.millis());
        change(process, repaired);
    }

    private void change(String process, String faults) throws IOException {
        try {
            String url = cluster.url(process) + "/control/faults";
            cluster.http().post(url, "", "{" + faults + "}");
        } catch (ConnectException e) {
            // Another fault has killed the process, and its successor starts without faults.
            System.out.println(Instant.now() + " not changed, " + process + " is down");
        }
    }

    private void reclaim(String engine, long noticeMillis)
            throws IOException, InterruptedException {
        announce(engine, noticeMillis);
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
