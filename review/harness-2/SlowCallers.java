import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers come at once for large answers of one service, which they receive over links of
 * their own of 3.5 Mbit/s; other callers send small requests to another service all the while, and
 * a few to a third one. The rule is checked on the small requests from the first large one on.
 */
final class SlowCallers {
    private static final int ANSWER_BYTES = 6_000_000;
    private static final long LINK_BYTES_PER_S = 3_500_000 / 8;
    private static final int LARGE = 100;
    private static final int LARGE_WITHOUT_TROUBLE = 8;
    private static final long LARGE_GAP_MILLIS = 80;
    private static final int DESK_SERVERS = 3;
    private static final int BID_CALLERS = 12;
    private static final int LIST_CALLERS = 4;
    private static final int BID_TIMEOUT_MILLIS = 1_000;
    private static final int LIST_TIMEOUT_MILLIS = 15_000;

    private static final Map<String, AtomicInteger> results = new ConcurrentSkipListMap<>();
    private static final AtomicInteger openAtTimeout = new AtomicInteger();
    private static final AtomicInteger openLater = new AtomicInteger();
    private static volatile boolean ended;

    public static void main(String[] args) {
        Bed.exit(() -> {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Bed.freePort("127.0.0.1"));
            List<Bed.Server> desk = new ArrayList<>();
            try (Bed bed = new Bed(Path.of(args[0]), Path.of(args[1]));
                    Store store = new Store(address);
                    Bed.Server lists = new Bed.Server("i-lists");
                    Bed.LargeAnswerServer files = new Bed.LargeAnswerServer("i-files", ANSWER_BYTES)) {
                bed.setStore("127.0.0.1:" + address.getPort());
                for (int i = 1; i <= DESK_SERVERS; i++) {
                    Bed.Server s = new Bed.Server("i-desk-" + i);
                    s.workMillis = 21;
                    desk.add(s);
                    store.put("servers/" + s.id, s.entry("desk", "zone-" + i, 6));
                }
                store.put("servers/i-lists", lists.entry("lists", "zone-1", 64));
                store.put("servers/i-files", files.entry("files", "zone-1"));
                return run(bed, store);
            } finally {
                for (Bed.Server s : desk) {
                    s.close();
                }
            }
        });
    }

    private static int run(Bed bed, Store store) throws Exception {
        store.put("op/config", """
                {"version":1,"routes":[
                {"name":"r-file","host":"hay.example","prefix":"/file/","kind":"safe","timeoutMs":15000,"latencyTargetMs":1000,
                "priority":2,"service":"files","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0},
                {"name":"r-list","host":"hay.example","prefix":"/list/","kind":"safe","timeoutMs":15000,"latencyTargetMs":1000,
                "priority":1,"service":"lists","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0},
                {"name":"r-bid","host":"hay.example","prefix":"/bid/","kind":"unsafe","timeoutMs":1000,"latencyTargetMs":100,
                "priority":2,"service":"desk","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0}],
                "services":[{"name":"files","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false},
                {"name":"lists","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false},
                {"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"huka270","apiKeys":["key-1"],"ratePerS":0,"burst":0}]}""");
        Bed.Node node = bed.new Node("front-1", "127.0.0.1", "zone-1");
        node.start(true);
        if (!bed.awaitReady(List.of(node), 20_000)) {
            bed.record("the node does not become ready");
            return 2;
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < BID_CALLERS; i++) {
            String name = "bid-" + i;
            callers.add(Thread.ofVirtual().start(() -> call(bed, node, name, "POST /bid/", BID_TIMEOUT_MILLIS)));
        }
        for (int i = 0; i < LIST_CALLERS; i++) {
            String name = "list-" + i;
            callers.add(Thread.ofVirtual().start(() -> call(bed, node, name, "GET /list/", LIST_TIMEOUT_MILLIS)));
        }
        Thread.sleep(4_000);
        bed.record("before: %s", results);
        clear();
        int count = bed.trouble ? LARGE : LARGE_WITHOUT_TROUBLE;
        Map<String, AtomicInteger> large = new ConcurrentSkipListMap<>();
        List<Thread> downloads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "file-" + i;
            downloads.add(Thread.ofVirtual().start(() -> add(large, download(node, id))));
            Thread.sleep(LARGE_GAP_MILLIS);
        }
        bed.record("%d large answers have been asked for; small requests since the first: %s", count, results);
        for (Thread t : downloads) {
            t.join(20_000);
        }
        bed.record("large answers: %s; small requests: %s", large, results);
        bed.record("bids open at timeoutMs: %d, of these still open 500 ms later: %d", openAtTimeout.get(), openLater.get());
        int code = openAtTimeout.get() > 0 && openLater.get() * 2 > openAtTimeout.get() ? 1 : 0;
        ended = true;
        for (Thread t : callers) {
            t.join(3_000);
        }
        return code;
    }

    private static void clear() {
        results.clear();
        openAtTimeout.set(0);
        openLater.set(0);
    }

    private static void add(Map<String, AtomicInteger> counts, String key) {
        counts.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    }

    private static String request(String start, int i, String id, int timeoutMillis) {
        return "%s%d HTTP/1.1\r\nHost: hay.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
                .formatted(start, i, id, timeoutMillis);
    }

    /** Receives a large answer at the speed of the caller's link. */
    private static String download(Bed.Node node, String id) {
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(64 << 10);
            s.connect(new InetSocketAddress(node.ip, node.front), 1_000);
            s.setSoTimeout(LIST_TIMEOUT_MILLIS);
            long start = System.nanoTime();
            Bed.send(s, request("GET /file/", 1, id, LIST_TIMEOUT_MILLIS), new byte[0]);
            InputStream in = s.getInputStream();
            byte[] part = new byte[16 << 10];
            long received = 0;
            while (received < ANSWER_BYTES) {
                int n = in.read(part);
                if (n < 0) {
                    return "cut off";
                }
                if (received == 0 && part[9] != '2') {
                    return new String(part, 9, 3);
                }
                received += n;
                if (System.nanoTime() - start > LIST_TIMEOUT_MILLIS * 1_000_000L) {
                    return "deadline";
                }
                long wait = (start + received * 1_000_000_000L / LINK_BYTES_PER_S - System.nanoTime()) / 1_000_000;
                if (wait > 0) {
                    Thread.sleep(wait);
                }
            }
            return "whole";
        } catch (IOException | InterruptedException e) {
            return e.getClass().getSimpleName();
        }
    }

    private static void call(Bed bed, Bed.Node node, String name, String start, int timeoutMillis) {
        String kind = name.substring(0, name.indexOf('-'));
        Socket s = null;
        InputStream in = null;
        for (int i = 0; !ended; i++) {
            String result;
            long waitMillis = 100;
            long sentNanos = System.nanoTime();
            try {
                if (s == null) {
                    s = Bed.connect(node.ip, node.front, 1_000);
                    in = new BufferedInputStream(s.getInputStream());
                }
                s.setSoTimeout(timeoutMillis + 500);
                Bed.send(s, request(start, i, name + "-" + i, timeoutMillis), new byte[0]);
                Bed.Message m = Bed.read(in, "GET");
                result = Integer.toString(m.status());
                if (m.status() != 200) {
                    waitMillis = Math.max(waitMillis, Math.round(1e3 * Double.parseDouble(m.headers().getOrDefault("retry-after", "0"))));
                }
            } catch (SocketTimeoutException e) {
                result = "no answer";
            } catch (IOException | RuntimeException e) {
                result = "closed";
            }
            long millis = (System.nanoTime() - sentNanos) / 1_000_000;
            if (kind.equals("bid") && millis >= timeoutMillis) {
                openAtTimeout.incrementAndGet();
                if (result.equals("no answer")) {
                    openLater.incrementAndGet();
                    if (openLater.get() <= 5) {
                        bed.record("%s-%d has no answer after %d ms", name, i, millis);
                    }
                }
            }
            if (!result.matches("\\d+")) {
                try {
                    if (s != null) {
                        s.close();
                    }
                } catch (IOException e) {
                    // Closed anyway.
                }
                s = null;
            }
            add(results, kind + " " + result);
            try {
                Thread.sleep(waitMillis);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
