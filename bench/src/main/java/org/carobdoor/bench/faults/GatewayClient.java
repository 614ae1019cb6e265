package org.carobdoor.bench.faults;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A caller that sends prompts to one gateway on one connection for as long as that is open, and
 * checks the answers. Some prompts have the deadly part.
 */
final class GatewayClient implements Runnable {
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int SITE_PARTS = 3;
    private static final int SUBJECT_PARTS = 120;
    private static final long MEAN_PAUSE_MILLIS = 40;
    private static final String COMPLETE_IDS = "1,2,3,4,5";

    private static final AtomicLong NEXT_ID = new AtomicLong(1 << 20);

    private final GatewayCluster cluster;
    private final String node;
    private final Violations violations;
    private final SplittableRandom random;
    private final double deadlyShare;
    private final Map<String, Boolean> sentInTouch;
    private final GatewaySoakCounts counts;
    private volatile boolean stopped;
    private @Nullable CallerConnection connection;

    GatewayClient(
            GatewayCluster cluster,
            String node,
            Violations violations,
            SplittableRandom random,
            double deadlyShare,
            Map<String, Boolean> sentInTouch,
            GatewaySoakCounts counts) {
        this.cluster = cluster;
        this.node = node;
        this.violations = violations;
        this.random = random;
        this.deadlyShare = deadlyShare;
        this.sentInTouch = sentInTouch;
        this.counts = counts;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                Thread.sleep(random.nextLong(2 * MEAN_PAUSE_MILLIS));
                exchange();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (ProtocolException e) {
                violations.add("MIXED: " + node + " wrote no response: " + e.getMessage());
                disconnect();
            } catch (IOException e) {
                // The node was killed, or broke the stream off because an engine crashed.
                counts.broken.incrementAndGet();
                disconnect();
            }
        }
        disconnect();
    }

    private void exchange() throws IOException {
        CallerConnection c = connection;
        if (c == null || !c.isOpen()) {
            disconnect();
            c = CallerConnection.open(cluster.callerPort(node), TIMEOUT_MILLIS);
            connection = c;
        }
        boolean deadly = random.nextDouble() < deadlyShare;
        long own = NEXT_ID.getAndIncrement();
        String id = node + "-" + own;
        String parts =
                Integer.toHexString(1 + random.nextInt(SITE_PARTS))
                        + ":40,"
                        + Integer.toHexString(0x100 + random.nextInt(SUBJECT_PARTS))
                        + ":30,"
                        + (deadly ? GatewayCluster.DEADLY_PART + ":20," : "")
                        + Long.toHexString(own)
                        + ":9";
        if (deadly) {
            sentInTouch.put(id, cluster.isInTouch(node));
        }
        String path = random.nextBoolean() ? "/draft/a" : "/chat/a";
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key-1\r\n"
                        + "X-Attempt-Id: "
                        + id
                        + "\r\nX-Deadline-Milliseconds: 3500\r\nX-Model: m\r\n"
                        + "X-Token-Counts: 99,10\r\nX-Prompt-Prefix: "
                        + parts
                        + "\r\nContent-Length: 6\r\n\r\nprompt";
        c.send(head);
        check(id, deadly, c.read());
    }

    private void check(String id, boolean deadly, CallerAnswer a) {
        if (a.status() == 200) {
            counts.served.incrementAndGet();
            String ids =
                    String.join(
                            ",",
                            a.body()
                                    .lines()
                                    .filter(l -> l.startsWith("id: "))
                                    .map(l -> l.substring(4))
                                    .toList());
            if (!ids.equals(COMPLETE_IDS)) {
                violations.add("ORDER: " + id + " got the events " + ids);
            }
            if (!a.requestId().equals(id)) {
                violations.add("MIXED: " + id + " got the answer to " + a.requestId());
            }
            if (deadly) {
                violations.add("deadly request " + id + " was answered");
            }
        } else if (a.status() == 503) {
            if (a.body().contains("quarantined")) {
                (deadly ? counts.quarantined : counts.soundQuarantined).incrementAndGet();
            } else {
                counts.refused.incrementAndGet();
            }
            if (cluster.hasRun(id)) {
                violations.add("REFUSED: " + id + " has run and was answered " + a.body());
            }
        } else {
            counts.failed.incrementAndGet();
        }
    }

    private void disconnect() {
        CallerConnection c = connection;
        connection = null;
        if (c != null) {
            try {
                c.close();
            } catch (IOException e) {
                counts.broken.incrementAndGet();
            }
        }
    }
}
