package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.carobdoor.bench.cluster.LocalCluster;

/** Injects faults, repairs them and checks the guarantees about stopping and reclaiming. */
final class FaultInjector {
    private static final Duration NODE_START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);

    /**
     * How long after a pause the streams of a node may still break. A node that is paused for
     * longer than the detection time is declared dead, and its streams are abandoned.
     */
    private static final Duration STREAM_FAILURE_AFTER_PAUSE = Duration.ofSeconds(15);

    private static final long MAX_ROUTING_AFTER_NOTICE_MILLIS = 3_000;

    /**
     * The minimum time between faults that make nodes unavailable. Accepted work must first be
     * copied to a second node again: losing both copies within one detection time is not guaranteed
     * to be survived.
     */
    private static final long NODE_RECOVERY_MILLIS = 10_000;

    private final LocalCluster cluster;
    private final ConnectionFaultWindows faultWindows;
    private final Violations violations;
    private final Semaphore nodeFaultPermit = new Semaphore(1);
    private final Semaphore platformFaultPermit = new Semaphore(1);

    FaultInjector(
            LocalCluster cluster, ConnectionFaultWindows faultWindows, Violations violations) {
        this.faultWindows = faultWindows;
        this.cluster = cluster;
        this.violations = violations;
    }

    /**
     * Injects {@code fault} and returns when it is repaired. A fault that makes nodes unavailable
     * is skipped while another such fault is active.
     */
    void run(Fault fault) {
        try {
            if (fault.makesNodesUnavailable()) {
                if (nodeFaultPermit.tryAcquire()) {
                    try {
                        inject(fault);
                        Thread.sleep(NODE_RECOVERY_MILLIS);
                    } finally {
                        nodeFaultPermit.release();
                    }
                }
                return;
            }
            inject(fault);
        } catch (IOException e) {
            violations.add("I/O error while injecting " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(Fault fault) throws IOException, InterruptedException {
        System.out.println(Instant.now() + " fault " + fault);
        switch (fault) {
            case Fault.KillNode f -> replaceNodes(List.of(f.node()), f.millis());
            case Fault.KillZone f -> replaceNodes(nodesInZone(f.zone()), f.millis());
            case Fault.ReclaimNode f -> reclaimNodes(List.of(f.node()), f.millis());
            case Fault.ReclaimZone f -> reclaimNodes(nodesInZone(f.zone()), f.millis());
            case Fault.PauseNode f -> {
                faultWindows.extend(
                        f.node(),
                        Instant.now().plusMillis(f.millis()).plus(STREAM_FAILURE_AFTER_PAUSE));
                cluster.process(f.node()).pause();
                Thread.sleep(f.millis());
                cluster.process(f.node()).resume();
            }
            case Fault.StopNode f -> stopNode(f.node());
            case Fault.PlatformDown f ->
                    injectPlatformFault("\"down\": true", "\"down\": false", f);
            case Fault.PlatformSlow f ->
                    injectPlatformFault(
                            "\"slowMillis\": " + f.delayMillis(), "\"slowMillis\": 0", f);
            case Fault.LoseAnswers f ->
                    injectPlatformFault("\"loseAnswers\": " + f.count(), "\"loseAnswers\": 0", f);
            case Fault.ReclaimEngine f -> reclaimEngine(f.engine(), f.millis());
            case Fault.KillEngine f -> {
                cluster.process(f.engine()).kill();
                Thread.sleep(f.millis());
                cluster.replaceEngine(f.engine());
            }
            case Fault.SilentEngine f ->
                    injectTemporarily(f.engine(), "\"silent\": true", "\"silent\": false", f);
            case Fault.LoseServiceAnswers f ->
                    injectTemporarily(
                            f.service(), "\"loseAnswers\": " + f.count(), "\"loseAnswers\": 0", f);
        }
    }

    private void replaceNodes(List<String> names, long millis)
            throws IOException, InterruptedException {
        names.forEach(this::killNode);
        Thread.sleep(millis);
        startNodes(names);
    }

    private void killNode(String node) {
        faultWindows.extend(node, Instant.now().plusSeconds(1));
        cluster.process(node).kill();
    }

    private List<String> nodesInZone(String zone) {
        return cluster.nodeNames().stream()
                .filter(n -> LocalCluster.zoneOf(n).equals(zone))
                .toList();
    }

    private void reclaimNodes(List<String> names, long noticeMillis)
            throws IOException, InterruptedException {
        for (String n : names) {
            announceReclaim(n, noticeMillis);
        }
        // Of several nodes, kills the first one during its handover.
        if (names.size() > 1) {
            Thread.sleep(noticeMillis / 20);
            killNode(names.getFirst());
        }
        Thread.sleep(noticeMillis);
        names.forEach(this::killNode);
        startNodes(names);
    }

    private void announceReclaim(String name, long noticeMillis) throws IOException {
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
            violations.add(
                    "P6 " + name + " did not stop within " + STOP_TIMEOUT.toSeconds() + " s");
        }
        startNodes(List.of(name));
    }

    private void startNodes(List<String> names) throws IOException {
        for (String n : names) {
            cluster.startNode(n);
        }
        Instant deadline = Instant.now().plus(NODE_START_TIMEOUT);
        for (String n : names) {
            cluster.awaitNode(n, deadline);
        }
    }

    private void injectPlatformFault(String fault, String repaired, Fault f)
            throws IOException, InterruptedException {
        platformFaultPermit.acquire();
        try {
            injectTemporarily("platform", fault, repaired, f);
        } finally {
            platformFaultPermit.release();
        }
    }

    private void injectTemporarily(String process, String fault, String repaired, Fault f)
            throws IOException, InterruptedException {
        postFaults(process, fault);
        Thread.sleep(f.millis());
        postFaults(process, repaired);
    }

    private void postFaults(String process, String faults) throws IOException {
        try {
            String url = cluster.url(process) + "/control/faults";
            cluster.http().post(url, "", "{" + faults + "}");
        } catch (ConnectException e) {
            // Another fault has killed the process; its replacement starts without faults.
            System.out.println(Instant.now() + " faults not set: " + process + " is down");
        }
    }

    private void reclaimEngine(String engine, long noticeMillis)
            throws IOException, InterruptedException {
        announceReclaim(engine, noticeMillis);
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
            if (received > noticed + MAX_ROUTING_AFTER_NOTICE_MILLIS) {
                violations.add(
                        "P5 "
                                + engine
                                + " received work "
                                + (received - noticed)
                                + " ms after the reclaim notice");
            }
        }
    }
}
