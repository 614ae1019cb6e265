import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator changes a large configuration in storms; callers go on sending. A last version takes
 * their key away. The rule is checked on the requests that are sent configApplyMs after it.
 */
final class ConfigurationMemory {
    private static final int STORMS = 18;
    private static final int CHANGES = 12;
    private static final long GAP_MILLIS = 330;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long CALM_MILLIS = 9_000;

    /** The platform's contactMs and configApplyMs after the last change. */
    private static final long SETTLE_MILLIS = 3_500;

    /** The platform's configApplyMs, and half a second. */
    private static final long APPLY_MILLIS = 2_500;

    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int VALUE_BYTES = 1_048_576;

    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final java.util.Map<String, AtomicInteger> statuses = new java.util.concurrent.ConcurrentSkipListMap<>();
    private static volatile boolean judged;
    private static volatile boolean ended;

    public static void main(String[] args) {
        Bed.exit(() -> {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Bed.freePort("127.0.0.1"));
            try (Bed bed = new Bed(Path.of(args[0]), Path.of(args[1]));
                    Store store = new Store(address);
                    Bed.Server a = new Bed.Server("i-a");
                    Bed.Server b = new Bed.Server("i-b")) {
                bed.setStore("127.0.0.1:" + address.getPort());
                return run(bed, store, List.of(a, b));
            }
        });
    }

    private static int run(Bed bed, Store store, List<Bed.Server> servers) throws Exception {
        store.put("op/config", configuration(1));
        for (Bed.Server s : servers) {
            store.put("servers/" + s.id, s.entry("desk", "zone-1", 64));
        }
        List<Bed.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            nodes.add(bed.new Node("front-" + i, "127.0.0.1" + i, "zone-" + i));
            nodes.getLast().start(true);
        }
        if (!bed.awaitReady(nodes, 20_000)) {
            bed.record("the nodes do not become ready");
            return 2;
        }
        bed.record("all nodes are ready, %s MB", memory(nodes));
        List<Thread> callers = new ArrayList<>();
        for (Bed.Node n : nodes) {
            for (int i = 0; i < 4; i++) {
                String id = n.name + "-" + i;
                callers.add(Thread.ofVirtual().start(() -> call(n, id)));
            }
        }
        Thread.sleep(2_000);
        int version = 1;
        for (int s = 1; s <= STORMS; s++) {
            for (int c = 0; c < CHANGES; c++) {
                version++;
                if (bed.trouble) {
                    store.put("op/config", configuration(version));
                }
                Thread.sleep(GAP_MILLIS);
            }
            bed.record("storm %d is over: version %d, %s MB; %d sent, %d answered", s,
                    bed.trouble ? version : 1, memory(nodes), sent.get(), answered.get());
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(SETTLE_MILLIS);
        store.put("op/config", configuration(version + 1, "key-2"));
        bed.record("version %d is acknowledged, which takes key-1 away", version + 1);
        Thread.sleep(APPLY_MILLIS);
        judged = true;
        bed.record("from here on the rule is checked");
        Thread.sleep(CALM_MILLIS);
        judged = false;
        ended = true;
        for (Thread t : callers) {
            t.join(5_000);
        }
        for (Bed.Node n : nodes) {
            bed.record("%s: %s, %d MB, %s", n.name, n.alive() ? "runs" : "has ended", n.memoryMb(),
                    n.isReady() ? "ready" : "not ready");
        }
        bed.record("answers to requests with the key that was taken away: %s", statuses);
        // A request that is run with the key that the last version took away.
        int run = statuses.entrySet().stream().filter(e -> e.getKey().endsWith(" 200")).mapToInt(e -> e.getValue().get()).sum();
        if (statuses.isEmpty()) {
            bed.record("no request was answered");
            return 2;
        }
        return run > 0 ? 1 : 0;
    }

    private static void call(Bed.Node node, String name) {
        Socket s = null;
        InputStream in = null;
        for (int i = 0; !ended; i++) {
            boolean counted = judged;
            try {
                if (s == null) {
                    s = Bed.connect(node.ip, node.front, 1_000);
                    in = new BufferedInputStream(s.getInputStream());
                }
                s.setSoTimeout(TIMEOUT_MILLIS + 500);
                sent.incrementAndGet();
                Bed.send(s, "GET /desk/%d HTTP/1.1\r\nHost: hay.example\r\nX-Attempt-Id: %s-%d\r\nX-Deadline-Milliseconds: 4000\r\nAuthorization: Bearer key-1\r\n\r\n"
                        .formatted(i, name, i), new byte[0]);
                Bed.Message m = Bed.read(in, "GET");
                if (counted) {
                    statuses.computeIfAbsent(node.name + " " + m.status(), k -> new AtomicInteger()).incrementAndGet();
                }
                answered.incrementAndGet();
            } catch (IOException | RuntimeException e) {
                close(s);
                s = null;
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(s);
    }

    private static void close(Socket s) {
        try {
            if (s != null) {
                s.close();
            }
        } catch (IOException e) {
            // Closed anyway.
        }
    }

    private static String memory(List<Bed.Node> nodes) {
        return nodes.stream().map(n -> Long.toString(n.memoryMb())).reduce((a, b) -> a + ", " + b).orElse("");
    }

    /** A configuration of many routes that is just within the platform's valueBytes. */
    private static String configuration(int version) {
        return configuration(version, "key-1");
    }

    private static String configuration(int version, String key) {
        StringBuilder routes = new StringBuilder();
        String services = """
                ],"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],\
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
                "tenants":[{"name":"huka270","apiKeys":["%s"],"ratePerS":0,"burst":0}]}""".formatted(key);
        String route = """
                {"name":"r-%d","host":"hay.example","prefix":"/%s/","kind":"safe","timeoutMs":%d,\
                "latencyTargetMs":100,"priority":0,"service":"desk","maxAttempts":2,\
                "anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0}""";
        routes.append("{\"version\":").append(version).append(",\"routes\":[")
                .append(route.formatted(0, "desk", TIMEOUT_MILLIS));
        int i = 0;
        while (routes.length() + services.length() + 300 < VALUE_BYTES) {
            i++;
            routes.append(',').append(route.formatted(i, "route" + i, 1_000 + version % 100));
        }
        return routes.append(services).toString();
    }
}
