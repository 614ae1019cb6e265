import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers receive large answers over a link of 7 Mbit/s, while the operator lowers idleTimeoutMs.
 */
final class IdleCut {
    private static final int ANSWER_BYTES = 6_000_000;
    private static final int CALLERS = 8;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int IDLE_MILLIS = 15_000;
    private static final int LOWER_IDLE_MILLIS = 5_000;
    private static final long LINK_BYTES_PER_S = 7_000_000 / 8;

    /** Two callers at a time share the link. */
    private static final int CALLERS_AT_ONCE = 2;

    public static void main(String[] args) {
        Bed.exit(() -> {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Bed.freePort("127.0.0.1"));
            try (Bed bed = new Bed(Path.of(args[0]), Path.of(args[1]));
                    Store store = new Store(address);
                    Bed.Server small = new Bed.Server("i-small");
                    Bed.LargeAnswerServer server = new Bed.LargeAnswerServer("i-a", ANSWER_BYTES)) {
                bed.setStore("127.0.0.1:" + address.getPort());
                store.put("servers/i-small", small.entry("small", "zone-1", 6));
                return run(bed, store, server);
            }
        });
    }

    private static int run(Bed bed, Store store, Bed.LargeAnswerServer server) throws Exception {
        store.put("op/config", configuration(1, IDLE_MILLIS));
        store.put("servers/i-a", server.entry("desk", "zone-1"));
        Bed.Node node = bed.new Node("front-1", "127.0.0.1", "zone-1");
        node.start(true);
        if (!bed.awaitReady(List.of(node), 20_000)) {
            bed.record("the node does not become ready");
            return 2;
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        Thread.sleep(1_000);
        if (bed.trouble) {
            store.put("op/config", configuration(2, LOWER_IDLE_MILLIS));
            bed.record("version 2 is acknowledged: idleTimeoutMs is %d, was %d", LOWER_IDLE_MILLIS, IDLE_MILLIS);
        }
        Thread.sleep(3_500);
        for (int i = 0; i < CALLERS; i++) {
            String id = "a" + i;
            callers.add(Thread.ofVirtual().start(() -> call(bed, node, id, whole, cut)));
            if (callers.size() % CALLERS_AT_ONCE == 0) {
                for (Thread t : callers) {
                    t.join(30_000);
                }
            } else {
                Thread.sleep(500);
            }
        }
        for (Thread t : callers) {
            t.join(30_000);
        }
        bed.record("runs at the server: %s", server.runs);
        bed.record("%d of %d answers are whole, %d are cut off", whole.get(), CALLERS, cut.get());
        return whole.get() + cut.get() < CALLERS ? 2 : cut.get() > 3 ? 1 : 0;
    }

    /** Sends one request on a kept connection, and receives its answer at the speed of the link. */
    private static void call(Bed bed, Bed.Node node, String id, AtomicInteger whole, AtomicInteger cut) {
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(64 << 10);
            s.connect(new InetSocketAddress(node.ip, node.front), 1_000);
            s.setSoTimeout(DEADLINE_MILLIS);
            // The connection is a kept one: a small request comes before the large one.
            InputStream in = s.getInputStream();
            Bed.send(s, "GET /small/1 HTTP/1.1\r\nHost: hay.example\r\nX-Attempt-Id: s%s\r\nX-Deadline-Milliseconds: 1000\r\nAuthorization: Bearer key-1\r\n\r\n"
                    .formatted(id), new byte[0]);
            if (Bed.read(in, "GET").status() != 200) {
                throw new IOException("the small request was refused");
            }
            long start = System.nanoTime();
            Bed.send(s, "POST /desk/1 HTTP/1.1\r\nHost: hay.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n"
                    .formatted(id, DEADLINE_MILLIS), "{}".getBytes(StandardCharsets.UTF_8));
            byte[] part = new byte[16 << 10];
            long received = 0;
            String end = "whole";
            try {
                while (received < ANSWER_BYTES) {
                    int n = in.read(part);
                    if (n < 0) {
                        end = "the connection was closed";
                        break;
                    }
                    received += n;
                    long due = start + received * 1_000_000_000L * CALLERS_AT_ONCE / LINK_BYTES_PER_S;
                    long wait = (due - System.nanoTime()) / 1_000_000;
                    if (wait > 0) {
                        Thread.sleep(wait);
                    }
                }
            } catch (IOException e) {
                end = e.toString();
            }
            long millis = (System.nanoTime() - start) / 1_000_000;
            bed.record("answer to %s: %d bytes with its head, of a body of %d, received in %d ms: %s", id, received, ANSWER_BYTES, millis, end);
            (received >= ANSWER_BYTES ? whole : cut).incrementAndGet();
        } catch (IOException | InterruptedException e) {
            bed.record("request %s: %s", id, e);
        }
    }

    private static String configuration(int version, int idleMillis) {
        return """
                {"version":%d,"routes":[
                {"name":"r-small","host":"hay.example","prefix":"/small/","kind":"safe","timeoutMs":1000,"latencyTargetMs":100,
                "priority":2,"service":"small","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0},
                {"name":"r-bid","host":"hay.example","prefix":"/desk/","kind":"unsafe","timeoutMs":15000,"latencyTargetMs":1000,
                "priority":2,"service":"desk","maxAttempts":1,"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":0}],
                "services":[{"name":"small","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false},{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":%d},
                "tenants":[{"name":"huka270","apiKeys":["key-1"],"ratePerS":0,"burst":0}]}""".formatted(version, idleMillis);
    }
}
