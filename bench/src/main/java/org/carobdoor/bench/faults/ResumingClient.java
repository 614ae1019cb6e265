package org.carobdoor.bench.faults;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller that takes up a stream again, at any node, when its connection has broken, and checks
 * that all events of the stream come from one version.
 */
final class ResumingClient implements Runnable {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int MAX_TRIES = 4;
    private static final long WAIT_MILLIS = 8_000;
    private static final long MAX_PAUSE_MILLIS = 120;
    private static final long MAX_RETRY_DELAY_MILLIS = 500;
    private static final AtomicLong NEXT_ID = new AtomicLong(1 << 24);

    private final GatewayCluster cluster;
    private final String node;
    private final Violations violations;
    private final SplittableRandom random;
    private final ResumeCounts counts;
    private volatile boolean stopped;

    /** What a caller holds of a stream. */
    private static final class Held {
        private final List<Long> ids = new ArrayList<>();
        private final Set<String> versions = new TreeSet<>();
        private String firstRequest = "";

        void add(String request, String events) {
            for (String line : events.split("\n", -1)) {
                if (line.startsWith("id: ")) {
                    ids.add(Long.parseLong(line.substring(4)));
                } else if (line.startsWith("data: ")) {
                    versions.add(line.substring(6));
                }
            }
            if (firstRequest.isEmpty() && !ids.isEmpty()) {
                firstRequest = request;
            }
        }

        boolean isBegun() {
            return !ids.isEmpty();
        }
    }

    ResumingClient(
            GatewayCluster cluster,
            String node,
            Violations violations,
            SplittableRandom random,
            ResumeCounts counts) {
        this.cluster = cluster;
        this.node = node;
        this.violations = violations;
        this.random = random;
        this.counts = counts;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS));
                stream();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stream() throws InterruptedException {
        Held held = new Held();
        boolean takenUp = false;
        boolean complete = request(node, held);
        for (int i = 1; i < MAX_TRIES && held.isBegun() && !complete; i++) {
            takenUp = true;
            Thread.sleep(random.nextLong(MAX_RETRY_DELAY_MILLIS));
            List<String> nodes = cluster.nodeNames();
            complete = request(nodes.get(random.nextInt(nodes.size())), held);
        }
        (held.isBegun() ? counts.begun : counts.notBegun).incrementAndGet();
        if (takenUp) {
            counts.takenUp.incrementAndGet();
            counts.wentOn.addAndGet(complete ? 1 : 0);
        }
        check(held, complete);
    }

    private void check(Held held, boolean complete) {
        if (held.versions.size() > 1) {
            violations.add(
                    "ORDER: " + held.firstRequest + " got events of the versions " + held.versions);
        }
        for (int i = 0; i < held.ids.size(); i++) {
            if (held.ids.get(i) != i + 1) {
                violations.add("ORDER: " + held.firstRequest + " got the events " + held.ids);
                return;
            }
        }
        if (complete && held.ids.size() != VersionedEndpoints.EVENTS) {
            violations.add("ORDER: " + held.firstRequest + " ended after " + held.ids);
        }
    }

    /** Sends a request for what is missing of a stream; returns whether the stream is complete. */
    private boolean request(String to, Held held) {
        String id = to + "-" + NEXT_ID.getAndIncrement();
        String resume =
                held.isBegun()
                        ? "Resumes: "
                                + held.firstRequest
                                + "\r\nLast-Event-Id: "
                                + held.ids.getLast()
                                + "\r\n"
                        : "";
        try (CallerConnection c = CallerConnection.open(cluster.callerPort(to), TIMEOUT_MILLIS)) {
            c.send(
                    "GET /briefs/a HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key-1\r\n"
                            + "X-Attempt-Id: "
                            + id
                            + "\r\nX-Deadline-Milliseconds: "
                            + WAIT_MILLIS
                            + "\r\n"
                            + resume
                            + "\r\n");
            try {
                CallerAnswer a = c.read();
                if (a.status() == 200) {
                    held.add(id, a.body());
                }
                return a.status() == 200;
            } catch (IOException e) {
                String received = c.receivedChunks();
                held.add(id, received.substring(0, received.lastIndexOf("\n\n") + 1));
                return false;
            }
        } catch (IOException e) {
            // The node does not listen now.
            return false;
        }
    }
}
