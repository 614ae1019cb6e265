package org.carobdoor.bench.faults;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

    private record Answer(int status, String requestId, String body) {}

    private static final AtomicLong NEXT_ID = new AtomicLong(1 << 20);

    private final GatewayCluster cluster;
    private final String node;
    private final Violations violations;
    private final SplittableRandom random;
    private final double deadlyShare;
    private final Map<String, Boolean> sentInTouch;
    private final GatewaySoakCounts counts;
    private volatile boolean stopped;
    private @Nullable Socket socket;

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
            } catch (IOException e) {
                // The node was killed, or broke the stream off because an engine crashed.
                counts.broken.incrementAndGet();
                disconnect();
            }
        }
        disconnect();
    }

    private void exchange() throws IOException {
        Socket s = socket;
        if (s == null || s.isClosed()) {
            s = new Socket();
            s.connect(new InetSocketAddress("127.0.0.1", cluster.callerPort(node)), TIMEOUT_MILLIS);
            s.setSoTimeout(TIMEOUT_MILLIS);
            s.setTcpNoDelay(true);
            socket = s;
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
        s.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        s.getOutputStream().flush();
        check(id, deadly, readAnswer(new BufferedInputStream(s.getInputStream())));
    }

    private void check(String id, boolean deadly, Answer a) {
        if (a.status == 200) {
            counts.served.incrementAndGet();
            String ids =
                    String.join(
                            ",",
                            a.body.lines()
                                    .filter(l -> l.startsWith("id: "))
                                    .map(l -> l.substring(4))
                                    .toList());
            if (!ids.equals(COMPLETE_IDS)) {
                violations.add("ORDER: " + id + " got the events " + ids);
            }
            if (!a.requestId.equals(id)) {
                violations.add("MIXED: " + id + " got the answer to " + a.requestId);
            }
            if (deadly) {
                violations.add("deadly request " + id + " was answered");
            }
        } else if (a.status == 503) {
            if (a.body.contains("quarantined")) {
                (deadly ? counts.quarantined : counts.soundQuarantined).incrementAndGet();
            } else {
                counts.refused.incrementAndGet();
            }
            if (cluster.hasRun(id)) {
                violations.add("REFUSED: " + id + " has run and was answered " + a.body);
            }
        } else {
            counts.failed.incrementAndGet();
        }
    }

    private Answer readAnswer(InputStream in) throws IOException {
        String head = readUntil(in, "\r\n\r\n");
        int status = Integer.parseInt(head.substring(9, 12));
        String body;
        if (header(head, "transfer-encoding").equals("chunked")) {
            StringBuilder chunks = new StringBuilder();
            int size = chunkSize(in);
            while (size > 0) {
                chunks.append(new String(in.readNBytes(size), StandardCharsets.UTF_8));
                in.skipNBytes(2);
                size = chunkSize(in);
            }
            in.skipNBytes(2);
            body = chunks.toString();
        } else {
            int length = Integer.parseInt(header(head, "content-length"));
            body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }
        if (header(head, "connection").equals("close")) {
            disconnect();
        }
        return new Answer(status, header(head, "x-attempt-id"), body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readUntil(in, "\r\n").trim(), 16);
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length()
                || !text.substring(text.length() - end.length()).equals(end)) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed");
            }
            text.append((char) b);
        }
        return text.toString();
    }

    private void disconnect() {
        Socket s = socket;
        socket = null;
        if (s != null) {
            try {
                s.close();
            } catch (IOException e) {
                counts.broken.incrementAndGet();
            }
        }
    }
}
