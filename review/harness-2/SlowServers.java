import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All servers of a plain service work eight times as long for some seconds, five times. The requests
 * of all kinds are counted over the whole run.
 */
final class SlowServers {
    private static final double WORK_MILLIS = 42.9;
    private static final int SLOW_FACTOR = 8;
    private static final long SLOW_MILLIS = 6_500;
    private static final int TIMES = 5;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int SERVERS = 3;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int NODES = 2;

    /** The sheet's requests a second: send-transfer and balance-check. */
    private static final double UNSAFE_PER_S = 93.7;

    private static final double SAFE_PER_S = 37.4;
    private static final int UNSAFE_MILLIS = 1_041;
    private static final int SAFE_MILLIS = 1_038;

    /** As many as the sheet's streams, here plain requests to a service that is never slow. */
    private static final double OTHER_PER_S = 374;

    private static final long REST_MILLIS = 68_000;

    private static final Map<String, AtomicInteger> results = new ConcurrentSkipListMap<>();
    private static final Map<String, Integer> totals = new ConcurrentSkipListMap<>();
    private static final Map<String, AtomicInteger> reasons = new ConcurrentHashMap<>();
    private static volatile boolean slow;
    private static volatile boolean ended;

    public static void main(String[] args) {
        Bed.exit(() -> {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Bed.freePort("127.0.0.1"));
            List<QueueingServer> servers = new ArrayList<>();
            try (Bed bed = new Bed(Path.of(args[0]), Path.of(args[1]));
                    Store store = new Store(address);
                    Bed.Server other = new Bed.Server("i-other")) {
                bed.setStore("127.0.0.1:" + address.getPort());
                for (int i = 1; i <= SERVERS; i++) {
                    servers.add(new QueueingServer("i-pagos-" + i));
                    store.put("servers/i-pagos-" + i, Bed.Server.entry("pagos", servers.getLast().address(), "zone-" + i, SLOTS));
                }
                other.workMillis = 20;
                store.put("servers/i-other", other.entry("other", "zone-1", 64));
                return run(bed, store);
            } finally {
                for (QueueingServer s : servers) {
                    s.listener.close();
                }
            }
        });
    }

    private static int run(Bed bed, Store store) throws Exception {
        store.put("op/config", """
                {"version":1,"routes":[
                {"name":"r-send","host":"pagos.example","prefix":"/send/","kind":"unsafe","timeoutMs":1041,"latencyTargetMs":201,
                "priority":2,"service":"pagos","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0},
                {"name":"r-balance","host":"pagos.example","prefix":"/balance/","kind":"safe","timeoutMs":1038,"latencyTargetMs":200,
                "priority":2,"service":"pagos","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0},
                {"name":"r-other","host":"pagos.example","prefix":"/other/","kind":"safe","timeoutMs":1038,"latencyTargetMs":200,
                "priority":2,"service":"other","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0}],
                "services":[{"name":"pagos","healthPath":"/health","maxConnections":891,"protocol":"h1","tls":false},
                {"name":"other","healthPath":"/health","maxConnections":891,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"huka270","apiKeys":["key-1"],"ratePerS":0,"burst":0}]}""");
        List<Bed.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            nodes.add(bed.new Node("front-" + i, "127.0.0.1" + i, "zone-" + i));
            nodes.getLast().start(true);
        }
        if (!bed.awaitReady(nodes, 20_000)) {
            bed.record("the nodes do not become ready");
            return 2;
        }
        for (Bed.Node n : nodes) {
            ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();
            send(n, idle, "POST /send/", UNSAFE_PER_S / NODES, UNSAFE_MILLIS);
            send(n, idle, "GET /balance/", SAFE_PER_S / NODES, SAFE_MILLIS);
            send(n, idle, "GET /other/", OTHER_PER_S / NODES, SAFE_MILLIS);
        }
        Thread.sleep(2_000);
        report(bed, "before");
        for (int i = 0; i < TIMES; i++) {
            slow = bed.trouble;
            bed.record("the servers %s", slow ? "work %d times as long".formatted(SLOW_FACTOR) : "go on");
            Thread.sleep(SLOW_MILLIS);
            slow = false;
            report(bed, "in %.1f s".formatted(SLOW_MILLIS / 1e3));
            bed.record("the servers work as before");
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(REST_MILLIS);
        ended = true;
        bed.record("reasons of the nodes: %s", reasons);
        report(bed, "in the last %d s".formatted((REST_MILLIS + PAUSE_MILLIS) / 1_000));
        Thread.sleep(1_500);
        report(bed, "at the end");
        int all = count("");
        int allServed = count(" 200");
        int code = 0;
        for (String kind : List.of("POST /send/", "GET /balance/")) {
            int asked = totals.entrySet().stream().filter(e -> e.getKey().startsWith(kind)).mapToInt(Map.Entry::getValue).sum();
            int served = totals.getOrDefault(kind + " 200", 0);
            bed.record("in the whole run, %s: %d of %d served; all requests: %d of %d", kind, served, asked, allServed, all);
            if (asked == 0 || allServed == 0) {
                return 2;
            }
            // "served less than a quarter as often as all requests"
            if ((double) served / asked < 0.25 * allServed / all) {
                code = 1;
            }
        }
        return code;
    }

    private static void report(Bed bed, String when) {
        bed.record("%s: %s", when, results);
        results.forEach((k, n) -> totals.merge(k, n.get(), Integer::sum));
        results.clear();
        reasons.clear();
    }

    private static int count(String suffix) {
        return totals.entrySet().stream().filter(e -> e.getKey().endsWith(suffix)).mapToInt(Map.Entry::getValue).sum();
    }

    private record Connection(Socket socket, InputStream in) {}

    /** Sends requests at random times, each on a connection of its own or a kept one. */
    private static void send(Bed.Node node, ConcurrentLinkedDeque<Connection> idle, String start, double perSecond, int deadlineMillis) {
        Thread.ofVirtual().start(() -> {
            Random random = new Random(start.hashCode());
            for (int i = 0; !ended; i++) {
                try {
                    Thread.sleep(Math.round(-Math.log(1 - random.nextDouble()) * 1e3 / perSecond));
                } catch (InterruptedException e) {
                    return;
                }
                int number = i;
                Thread.ofVirtual().start(() -> {
                    String result = one(node, idle, start, number, deadlineMillis);
                    results.computeIfAbsent(start + " " + result, k -> new AtomicInteger()).incrementAndGet();
                });
            }
        });
    }

    private static String one(Bed.Node node, ConcurrentLinkedDeque<Connection> idle, String start, int number, int deadlineMillis) {
        Connection c = idle.pollLast();
        try {
            if (c == null) {
                Socket s = Bed.connect(node.ip, node.front, 1_000);
                c = new Connection(s, new BufferedInputStream(s.getInputStream()));
            }
            c.socket().setSoTimeout(deadlineMillis);
            Bed.send(c.socket(), "%s%d HTTP/1.1\r\nHost: pagos.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
                    .formatted(start, number, ThreadLocalRandom.current().nextLong(), deadlineMillis), new byte[0]);
            Bed.Message m = Bed.read(c.in(), "GET");
            if (m.status() != 200 && !m.headers().containsKey("x-server-stamp")) {
                reasons.computeIfAbsent(m.text(), k -> new AtomicInteger()).incrementAndGet();
            }
            idle.addLast(c);
            return Integer.toString(m.status());
        } catch (IOException | RuntimeException e) {
            try {
                if (c != null) {
                    c.socket().close();
                }
            } catch (IOException x) {
                // Closed anyway.
            }
            return "no answer";
        }
    }

    /** A server with slots and a short queue, which rejects what it cannot queue. */
    private static final class QueueingServer {
        private final String id;
        private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private final AtomicInteger present = new AtomicInteger();

        QueueingServer(String id) throws IOException {
            this.id = id;
            Thread.ofVirtual().start(() -> {
                try {
                    while (true) {
                        Socket s = listener.accept();
                        Thread.ofVirtual().start(() -> serve(s));
                    }
                } catch (IOException e) {
                    // Closed.
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Bed.Message m = Bed.read(in, "");
                    String attempt = "\r\nX-Attempt-Id: " + m.headers().get("x-attempt-id");
                    long left = Long.parseLong(m.headers().get("x-deadline-milliseconds"));
                    Bed.send(s, "HTTP/1.1 " + run(left, attempt), new byte[0]);
                }
            } catch (IOException e) {
                // The node has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private String run(long leftMillis, String attempt) throws InterruptedException {
            long start = System.nanoTime();
            String rejected = "503 Service Unavailable" + attempt + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if (present.incrementAndGet() > SLOTS + QUEUE) {
                present.decrementAndGet();
                return rejected;
            }
            try {
                if (!slots.tryAcquire(leftMillis, TimeUnit.MILLISECONDS)) {
                    return rejected;
                }
                try {
                    double work = WORK_MILLIS * (0.5 + ThreadLocalRandom.current().nextDouble()) * (slow ? SLOW_FACTOR : 1);
                    long until = leftMillis - (System.nanoTime() - start) / 1_000_000;
                    Thread.sleep(Math.max(0, Math.round(Math.min(work, until))));
                    String stamp = attempt + "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 0\r\n\r\n";
                    return (work <= until ? "200 OK" : "504 Gateway Timeout") + stamp;
                } finally {
                    slots.release();
                }
            } finally {
                present.decrementAndGet();
            }
        }
    }
}
