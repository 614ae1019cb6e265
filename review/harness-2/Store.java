import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/** The platform's store as PROTOCOL.md describes it, with 20 seconds of history. */
final class Store implements AutoCloseable {
    private static final long HISTORY_NANOS = 20_000_000_000L;
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int MAX_PAGE_BYTES = 1 << 20;

    private record Item(String value, long revision, long created, long lease) {}

    private record Change(String key, Item item, long revision, long atNanos) {}

    private record Lease(long ttlMillis, long endNanos) {}

    private final ObjectMapper json = new ObjectMapper();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer http;
    private long revision = 100;
    private long historyFrom = 100;
    private long lastLease = 1000;

    /** Callers, by their loopback address, that get 503. */
    volatile Predicate<String> refused = address -> false;

    Store(InetSocketAddress bind) throws IOException {
        http = HttpServer.create(bind, 1024);
        http.createContext("/", this::serve);
        http.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        http.start();
    }

    /** Writes a key for the operator or a server; returns the revision, which acknowledges it. */
    long put(String key, String value) {
        return putBytes(key, value.getBytes(StandardCharsets.UTF_8));
    }

    long putBytes(String key, byte[] value) {
        lock.lock();
        try {
            write(key, Base64.getEncoder().encodeToString(value), 0);
            return revision;
        } finally {
            lock.unlock();
        }
    }

    void delete(String key) {
        lock.lock();
        try {
            revision++;
            remove(key);
        } finally {
            lock.unlock();
        }
    }

    String get(String key) {
        lock.lock();
        try {
            Item i = items.get(key);
            return i == null ? null : new String(Base64.getDecoder().decode(i.value()), StandardCharsets.UTF_8);
        } finally {
            lock.unlock();
        }
    }

    private void write(String key, String base64, long lease) {
        revision++;
        set(key, base64, lease);
    }

    private void set(String key, String base64, long lease) {
        Item before = items.get(key);
        Item item = new Item(base64, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        record(key, item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            record(key, null);
        }
    }

    private void record(String key, Item item) {
        long now = System.nanoTime();
        history.addLast(new Change(key, item, revision, now));
        while (!history.isEmpty() && now - history.getFirst().atNanos() > HISTORY_NANOS) {
            historyFrom = history.removeFirst().revision();
        }
        changed.signalAll();
    }

    private void expire() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, l) -> {
            if (now - l.endNanos() > 0) {
                ended.add(id);
            }
        });
        ended.forEach(this::end);
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = items.entrySet().stream()
                .filter(e -> e.getValue().lease() == lease).map(Map.Entry::getKey).toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
        }
    }

    private void serve(HttpExchange x) throws IOException {
        try (x) {
            byte[] body = x.getRequestBody().readAllBytes();
            if (refused.test(x.getRemoteAddress().getAddress().getHostAddress())) {
                reply(x, 503, json.createObjectNode());
                return;
            }
            String path = x.getRequestURI().getPath();
            Map<String, String> q = query(x.getRequestURI().getRawQuery());
            lock.lock();
            int status;
            ObjectNode out = json.createObjectNode();
            try {
                expire();
                status = handle(path, q, body, out);
            } finally {
                lock.unlock();
            }
            reply(x, status, out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reply(HttpExchange x, int status, ObjectNode out) throws IOException {
        byte[] bytes = json.writeValueAsBytes(out);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> q = new HashMap<>();
        if (raw != null) {
            for (String p : raw.split("&")) {
                int i = p.indexOf('=');
                q.put(p.substring(0, i), URLDecoder.decode(p.substring(i + 1), StandardCharsets.UTF_8));
            }
        }
        return q;
    }

    private int handle(String path, Map<String, String> q, byte[] body, ObjectNode out)
            throws IOException, InterruptedException {
        if (path.equals("/kv-key")) {
            Item i = items.get(q.get("key"));
            if (i == null) {
                return 404;
            }
            out.setAll(toJson(q.get("key"), i));
            out.put("storeRevision", revision);
            return 200;
        }
        if (path.equals("/kv-range")) {
            return range(q, out);
        }
        if (path.equals("/kv-watch")) {
            return watch(q, out);
        }
        if (path.equals("/kv-txn")) {
            return transaction(json.readTree(body), out);
        }
        if (path.equals("/kv-lease")) {
            long ttl = Math.clamp(json.readTree(body).get("ttlMs").asLong(), 1_000, 600_000);
            leases.put(++lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
            out.put("lease", lastLease).put("ttlMs", ttl);
            return 200;
        }
        if (path.startsWith("/kv-keep/")) {
            long id = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease l = leases.get(id);
            if (l == null) {
                return 404;
            }
            leases.put(id, new Lease(l.ttlMillis(), System.nanoTime() + l.ttlMillis() * 1_000_000));
            out.put("ttlMs", l.ttlMillis());
            return 200;
        }
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return 200;
        }
        return 404;
    }

    private int range(Map<String, String> q, ObjectNode out) {
        ArrayNode list = out.putArray("items");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Item> e : items.tailMap(q.get("prefix"), true).entrySet()) {
            if (!e.getKey().startsWith(q.get("prefix"))) {
                break;
            }
            if (q.containsKey("after") && e.getKey().compareTo(q.get("after")) <= 0) {
                continue;
            }
            bytes += e.getValue().value().length();
            if (!list.isEmpty() && (list.size() >= MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES)) {
                truncated = true;
                break;
            }
            list.add(toJson(e.getKey(), e.getValue()));
        }
        out.put("truncated", truncated).put("storeRevision", revision);
        return 200;
    }

    private int watch(Map<String, String> q, ObjectNode out) throws InterruptedException {
        long after = Long.parseLong(q.get("after"));
        long left = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(q.get("waitMs")));
        while (true) {
            if (after < historyFrom || after > revision) {
                return 410;
            }
            ArrayNode events = json.createArrayNode();
            for (Change c : history) {
                if (c.revision() > after && c.key().startsWith(q.get("prefix"))) {
                    events.add(c.item() != null ? toJson(c.key(), c.item())
                            : json.createObjectNode().put("key", c.key())
                                    .put("revision", c.revision()).put("tombstone", true));
                }
            }
            if (!events.isEmpty() || left <= 0) {
                out.set("events", events);
                out.put("storeRevision", revision);
                return 200;
            }
            left = changed.awaitNanos(Math.min(left, 200_000_000L)) + Math.max(0, left - 200_000_000L);
            expire();
        }
    }

    private int transaction(JsonNode r, ObjectNode out) {
        boolean met = true;
        ArrayNode now = json.createArrayNode();
        for (JsonNode e : r.path("expectedRevision")) {
            Item i = items.get(e.get("key").asText());
            met &= (i == null ? 0 : i.revision()) == e.get("revision").asLong();
            if (i != null) {
                now.add(toJson(e.get("key").asText(), i));
            }
        }
        if (!met) {
            out.set("items", now);
            return 412;
        }
        for (JsonNode p : r.path("puts")) {
            long lease = p.path("lease").asLong(0);
            String key = p.get("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        revision++;
        for (JsonNode p : r.path("puts")) {
            set(p.get("key").asText(), p.get("value").asText(), p.path("lease").asLong(0));
        }
        for (JsonNode k : r.path("deletes")) {
            remove(k.asText());
        }
        out.put("revision", revision);
        return 200;
    }

    private ObjectNode toJson(String key, Item i) {
        return json.createObjectNode().put("key", key).put("value", i.value())
                .put("revision", i.revision()).put("created", i.created()).put("lease", i.lease());
    }

    @Override
    public void close() {
        http.stop(0);
    }
}
