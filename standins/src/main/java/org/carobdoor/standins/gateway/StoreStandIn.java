package org.carobdoor.standins.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * The platform's store: items with revisions, conditional writes, leases and watches. Can be put
 * out of order, and can forget its history.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Item(String value, long revision, long lease) {}

    private record Lease(long ttlMillis, Instant until) {
        static Lease ofMillis(long ttlMillis) {
            return new Lease(ttlMillis, Instant.now().plusMillis(ttlMillis));
        }
    }

    private record Change(String key, @Nullable Item item, long revision) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final LocalHttp http;
    private long revision = 1;
    private long historyFrom;
    private long nextLease = 100;
    private boolean down;
    private String refusedPrefix = "";

    private StoreStandIn() {
        http = LocalHttp.start(this::serve);
    }

    /** Starts an empty store. */
    public static StoreStandIn start() {
        return new StoreStandIn();
    }

    /** Returns where it listens. */
    public InetSocketAddress address() {
        return http.address();
    }

    /** Writes a key as the operator or an endpoint does. */
    public void put(String key, String value) {
        lock.lock();
        try {
            String encoded =
                    Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            write(key, new Item(encoded, ++revision, 0));
        } finally {
            lock.unlock();
        }
    }

    /** Writes the entry of an endpoint, as the endpoint does. */
    public void putEndpoint(String id, String service, String state, InetSocketAddress address) {
        put(
                "servers/" + id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"a\","
                                + "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
                                + "\"coldRemainingMs\":0,\"sequence\":1,"
                                + "\"born\":1700000000000}",
                        service, address.getAddress().getHostAddress(), address.getPort(), state));
    }

    /** Deletes a key. */
    public void delete(String key) {
        lock.lock();
        try {
            revision++;
            write(key, null);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the keys that begin with {@code prefix}. */
    public List<String> keys(String prefix) {
        lock.lock();
        try {
            return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
        } finally {
            lock.unlock();
        }
    }

    /** While down, every call is refused with 503. */
    public void setDown(boolean value) {
        lock.lock();
        try {
            down = value;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Refuses reads of this prefix with 503 from now on; of none if it is empty. */
    public void refuseReads(String prefix) {
        lock.lock();
        try {
            refusedPrefix = prefix;
        } finally {
            lock.unlock();
        }
    }

    /** Discards the history: watches from an earlier revision are told so. */
    public void compact() {
        lock.lock();
        try {
            history.clear();
            historyFrom = ++revision;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void write(String key, @Nullable Item item) {
        if (item == null) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        history.add(new Change(key, item, revision));
        changed.signalAll();
    }

    private void serve(HttpExchange x) throws IOException {
        byte[] body = x.getRequestBody().readAllBytes();
        String path = x.getRequestURI().getPath();
        lock.lock();
        try {
            expireLeases();
            String answer = down ? "" : answer(path, LocalHttp.query(x), body);
            int split = answer.indexOf(' ');
            if (down || split < 0) {
                LocalHttp.reply(x, 503, "{}");
            } else {
                LocalHttp.reply(
                        x,
                        Integer.parseInt(answer.substring(0, split)),
                        answer.substring(split + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            x.close();
        } finally {
            lock.unlock();
        }
    }

    private String answer(String path, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        if (path.equals("/kv-range")) {
            return range(query);
        } else if (path.equals("/kv-watch")) {
            return watch(query);
        } else if (path.equals("/kv-txn")) {
            return transaction(JSON.readTree(body));
        } else if (path.equals("/kv-lease")) {
            long ttl = JSON.readTree(body).get("ttlMs").longValue();
            leases.put(++nextLease, Lease.ofMillis(ttl));
            return "200 {\"lease\":" + nextLease + ",\"ttlMs\":" + ttl + "}";
        } else if (path.startsWith("/kv-keep/")) {
            long lease = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease renewed =
                    leases.computeIfPresent(lease, (l, kept) -> Lease.ofMillis(kept.ttlMillis()));
            return renewed == null ? "404 {}" : "200 {\"ttlMs\":" + renewed.ttlMillis() + "}";
        } else if (path.startsWith("/kv-lease-end/")) {
            long lease = Long.parseLong(path.substring("/kv-lease-end/".length()));
            leases.computeIfPresent(lease, (l, kept) -> new Lease(0, Instant.EPOCH));
            expireLeases();
            return "200 {}";
        }
        return "404 {}";
    }

    private String range(Map<String, String> query) {
        if (!refusedPrefix.isEmpty()
                && query.getOrDefault("prefix", "").startsWith(refusedPrefix)) {
            return "503 {}";
        }
        ObjectNode out = JSON.createObjectNode();
        ArrayNode list = out.putArray("items");
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(query.get("prefix"))) {
                        list.add(node(key, item));
                    }
                });
        out.put("truncated", false).put("storeRevision", revision);
        return "200 " + out;
    }

    private String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long left = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("waitMs")));
        while (!down) {
            if (after < historyFrom) {
                return "410 {}";
            }
            ArrayNode events = JSON.createArrayNode();
            for (Change c : history) {
                if (c.revision > after && c.key.startsWith(prefix)) {
                    events.add(
                            c.item == null
                                    ? JSON.createObjectNode()
                                            .put("key", c.key)
                                            .put("revision", c.revision)
                                            .put("tombstone", true)
                                    : node(c.key, c.item));
                }
            }
            if (!events.isEmpty() || left <= 0) {
                ObjectNode out = JSON.createObjectNode();
                out.set("events", events);
                out.put("storeRevision", revision);
                return "200 " + out;
            }
            left = changed.awaitNanos(left);
        }
        return "503 {}";
    }

    private String transaction(JsonNode call) {
        for (JsonNode e : call.get("expectedRevision")) {
            Item item = items.get(e.get("key").textValue());
            if ((item == null ? 0 : item.revision) != e.get("revision").longValue()) {
                return "412 {\"items\":[]}";
            }
        }
        for (JsonNode put : call.get("puts")) {
            long lease = put.get("lease").longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return "404 {}";
            }
        }
        revision++;
        for (JsonNode put : call.get("puts")) {
            write(
                    put.get("key").textValue(),
                    new Item(put.get("value").textValue(), revision, put.get("lease").longValue()));
        }
        return "200 {\"revision\":" + revision + "}";
    }

    private void expireLeases() {
        Instant now = Instant.now();
        List<Long> ended =
                leases.entrySet().stream()
                        .filter(e -> e.getValue().until().isBefore(now))
                        .map(Map.Entry::getKey)
                        .toList();
        for (long lease : ended) {
            leases.remove(lease);
            List<String> keys =
                    items.entrySet().stream()
                            .filter(e -> e.getValue().lease == lease)
                            .map(Map.Entry::getKey)
                            .toList();
            for (String key : keys) {
                revision++;
                write(key, null);
            }
        }
    }

    private static ObjectNode node(String key, Item item) {
        return JSON.createObjectNode()
                .put("key", key)
                .put("value", item.value)
                .put("revision", item.revision)
                .put("created", item.revision)
                .put("lease", item.lease);
    }

    @Override
    public void close() {
        setDown(true);
        http.close();
    }
}
