package org.carobdoor.bench.faults;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A caller of the plain service that keeps its connection to one gateway for as long as that is
 * open. Sometimes it follows a failure with a new request immediately.
 */
final class PlainClient implements Runnable {
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final long MEAN_PAUSE_MILLIS = 40;
    private static final int MIN_DEADLINE_MILLIS = 300;
    private static final int MAX_DEADLINE_MILLIS = 1_500;
    private static final int MAX_BODY_BYTES = 2_000;
    private static final double SAFE_SHARE = 0.6;
    private static final double IMMEDIATE_SHARE = 0.5;
    private static final int FIRST_FAILURE_STATUS = 500;

    private static final AtomicLong NEXT_ID = new AtomicLong();

    private final GatewayCluster cluster;
    private final String node;
    private final Violations violations;
    private final SplittableRandom random;
    private final PlainTraffic traffic;
    private volatile boolean stopped;
    private @Nullable CallerConnection connection;

    PlainClient(
            GatewayCluster cluster,
            String node,
            Violations violations,
            SplittableRandom random,
            PlainTraffic traffic) {
        this.cluster = cluster;
        this.node = node;
        this.violations = violations;
        this.random = random;
        this.traffic = traffic;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        boolean immediately = false;
        while (!stopped) {
            try {
                if (!immediately) {
                    Thread.sleep(random.nextLong(2 * MEAN_PAUSE_MILLIS));
                }
                PlainExchange e = exchange();
                if (e != null) {
                    traffic.add(e);
                }
                immediately = e != null && hasFailed(e) && random.nextDouble() < IMMEDIATE_SHARE;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        disconnect();
    }

    private static boolean hasFailed(PlainExchange e) {
        CallerAnswer a = e.answer();
        return a != null && a.status() >= FIRST_FAILURE_STATUS;
    }

    /** Sends a request; returns null if the node could not be reached. */
    private @Nullable PlainExchange exchange() {
        String id = "p-" + node + "-" + NEXT_ID.incrementAndGet();
        boolean safe = random.nextDouble() < SAFE_SHARE;
        String request = request(id, safe);
        CallerConnection c;
        try {
            c = connection();
        } catch (IOException e) {
            // The node is not running.
            return null;
        }
        long sent = System.nanoTime();
        CallerAnswer answer = null;
        try {
            c.send(request);
            answer = c.read();
        } catch (ProtocolException e) {
            violations.add("MIXED: " + id + " got bytes that are no response: " + e.getMessage());
            disconnect();
        } catch (IOException e) {
            // The node was killed or suspended.
            disconnect();
        }
        return new PlainExchange(id, node, safe, sent, System.nanoTime(), answer);
    }

    /** Returns a connection with no bytes from the node on it. */
    private CallerConnection connection() throws IOException {
        CallerConnection c = connection;
        if (c != null && c.hasUnreadBytes()) {
            violations.add("MIXED: " + node + " wrote without a request: " + c.describeUnread());
            disconnect();
            c = null;
        }
        if (c == null || !c.isOpen()) {
            disconnect();
            c = CallerConnection.open(cluster.callerPort(node), TIMEOUT_MILLIS);
            connection = c;
        }
        return c;
    }

    private String request(String id, boolean safe) {
        int deadline = random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS);
        String head =
                (safe ? "GET /lots/" : "POST /bids/")
                        + id
                        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key-1\r\n"
                        + "X-Attempt-Id: "
                        + id
                        + "\r\nX-Deadline-Milliseconds: "
                        + deadline
                        + "\r\n";
        if (safe) {
            return head + "\r\n";
        }
        String body = "b".repeat(random.nextInt(MAX_BODY_BYTES));
        return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void disconnect() {
        CallerConnection c = connection;
        connection = null;
        if (c != null) {
            try {
                c.close();
            } catch (IOException e) {
                violations.add("cannot close a connection to " + node + ": " + e);
            }
        }
    }
}
