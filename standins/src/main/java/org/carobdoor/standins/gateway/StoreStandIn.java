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
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value store for tests, with revisions, conditional writes, leases and watches.
 * It can simulate an outage, refused reads, the compaction of its history, and a return from an
 * older copy.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FIRST_START_MILLIS = 1_700_000_000_000L;

    private record Item(String value, long revision, long lease) {}

    private record Lease(long ttlMillis, Instant expiresAt) {
        static Lease ofMillis(long ttlMillis) {
            return new Lease(ttlMillis, Instant.now().plusMillis(ttlMillis));
        }
    }

    /** The state at an earlier time. */
    private record Copy(TreeMap<String, Item> items, long revision) {}

    private record Change(String key, @Nullable Item item, long revision) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final LocalHttpServer http;
    private long revision = 1;
    private long compactedRevision;
    private long lastLeaseId = 100;
    private boolean down;
    private String refusedReadPrefix = "";
    private long era;
    private @Nullable Copy copy;
    private TreeMap<String, Item> lost = new TreeMap<>();

    private StoreStandIn() {
        http = LocalHttpServer.start(this::serve);
    }

    /** Starts an empty store on a free loopback port. */
    public static StoreStandIn start() {
        return new StoreStandIn();
    }

    /** Returns the address that the store listens on. */
    public InetSocketAddress address() {
        return http.address();
    }

    /** Writes a key unconditionally and without a lease. */
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

    /** Writes the entry with which an endpoint registers itself. */
    public void putEndpoint(String id, String service, String state, InetSocketAddress address) {
        putEndpoint(id, service, state, address, FIRST_START_MILLIS);
    }

    /**
     * Writes the entry with which an endpoint registers itself.
     *
     * @param startedAtMillis when it started, in milliseconds since the epoch
     */
    public void putEndpoint(
            String id,
            String service,
            String state,
            InetSocketAddress address,
            long startedAtMillis) {
        put(
                "servers/" + id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"a\","
                                + "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
                                + "\"coldRemainingMs\":0,\"sequence\":1,"
                                + "\"born\":%d}",
                        service,
                        address.getAddress().getHostAddress(),
                        address.getPort(),
                        state,
                        startedAtMillis));
    }

    /** Deletes a key unconditionally. */
    public void delete(String key) {
        lock.lock();
        try {
            revision++;
            write(key, null);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the keys that start with {@code prefix}. */
    public List<String> keys(String prefix) {
        lock.lock();
        try {
            return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
        } finally {
            lock.unlock();
        }
    }

    /** Starts or ends an outage, during which every call gets a 503 response. */
    public void setDown(boolean value) {
        lock.lock();
        try {
            down = value;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Responds with 503 to range reads of prefixes that start with {@code prefix}. An empty prefix
     * ends this.
     */
    public void refuseReads(String prefix) {
        lock.lock();
        try {
            refusedReadPrefix = prefix;
        } finally {
            lock.unlock();
        }
    }

    /** Discards the history of changes. Watches from an earlier revision get a 410 response. */
    public void compact() {
        lock.lock();
        try {
            history.clear();
            compactedRevision = ++revision;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** States this era in all responses from now on; 0 states none. */
    public void setEra(long value) {
        lock.lock();
        try {
            era = value;
        } finally {
            lock.unlock();
        }
    }

    /** Takes the copy that {@link #returnFromCopy} restores. */
    public void takeCopy() {
        lock.lock();
        try {
            copy = new Copy(new TreeMap<>(items), revision);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Restores the copy in a new era. All leases are gone, with their keys, and so is what the
     * system has written since. What the operator and the endpoints have written since is written
     * again after {@link #rewriteForeignKeys}.
     */
    public void returnFromCopy() {
        lock.lock();
        try {
            Copy restored = Objects.requireNonNull(copy, "no copy was taken");
            lost = new TreeMap<>(items);
            items.clear();
            items.putAll(restored.items);
            items.values().removeIf(item -> item.lease != 0);
            leases.clear();
            revision = restored.revision;
            history.removeIf(c -> c.revision > revision);
            era++;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Writes the keys of the operator and of the endpoints again that the last return has lost. */
    public void rewriteForeignKeys() {
        lock.lock();
        try {
            lost.forEach(
                    (key, item) -> {
                        boolean foreign = key.startsWith("op/") || key.startsWith("servers/");
                        Item current = items.get(key);
                        if (foreign && (current == null || !current.value.equals(item.value))) {
                            write(key, new Item(item.value, ++revision, 0));
                        }
                    });
        } finally {
            lock.unlock();
        }
    }

    /** Returns the value of {@code key}; empty if it does not exist. */
    public Optional<String> value(String key) {
        lock.lock();
        try {
            return Optional.ofNullable(items.get(key))
                    .map(i -> Base64.getDecoder().decode(i.value))
                    .map(bytes -> new String(bytes, StandardCharsets.UTF_8));
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

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        lock.lock();
        try {
            expireLeases();
            String response =
                    down ? "" : handle(path, LocalHttpServer.queryParameters(exchange), body);
            int separator = response.indexOf(' ');
            if (era > 0) {
                exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
            }
            if (down || separator < 0) {
                LocalHttpServer.sendJson(exchange, 503, "{}");
            } else {
                LocalHttpServer.sendJson(
                        exchange,
                        Integer.parseInt(response.substring(0, separator)),
                        response.substring(separator + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            exchange.close();
        } finally {
            lock.unlock();
        }
    }

    private String handle(String path, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        if (path.equals("/kv-range")) {
            return range(query);
        } else if (path.equals("/kv-watch")) {
            return watch(query);
        } else if (path.equals("/kv-txn")) {
            return transaction(JSON.readTree(body));
        } else if (path.equals("/kv-lease")) {
            long ttl = JSON.readTree(body).get("ttlMs").longValue();
            leases.put(++lastLeaseId, Lease.ofMillis(ttl));
            return "200 {\"lease\":" + lastLeaseId + ",\"ttlMs\":" + ttl + "}";
        } else if (path.startsWith("/kv-keep/")) {
            long lease = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease renewed =
                    leases.computeIfPresent(lease, (id, held) -> Lease.ofMillis(held.ttlMillis()));
            return renewed == null ? "404 {}" : "200 {\"ttlMs\":" + renewed.ttlMillis() + "}";
        } else if (path.startsWith("/kv-lease-end/")) {
            long lease = Long.parseLong(path.substring("/kv-lease-end/".length()));
            leases.computeIfPresent(lease, (id, held) -> new Lease(0, Instant.EPOCH));
            expireLeases();
            return "200 {}";
        }
        return "404 {}";
    }

    private String range(Map<String, String> query) {
        if (!refusedReadPrefix.isEmpty()
                && query.getOrDefault("prefix", "").startsWith(refusedReadPrefix)) {
            return "503 {}";
        }
        ObjectNode out = JSON.createObjectNode();
        ArrayNode list = out.putArray("items");
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(query.get("prefix"))) {
                        list.add(toJson(key, item));
                    }
                });
        out.put("truncated", false).put("storeRevision", revision);
        return "200 " + out;
    }

    private String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("waitMs")));
        while (!down) {
            if (after < compactedRevision || after > revision) {
                return "410 {}";
            }
            ArrayNode events = JSON.createArrayNode();
            for (Change change : history) {
                if (change.revision > after && change.key.startsWith(prefix)) {
                    events.add(
                            change.item == null
                                    ? JSON.createObjectNode()
                                            .put("key", change.key)
                                            .put("revision", change.revision)
                                            .put("tombstone", true)
                                    : toJson(change.key, change.item));
                }
            }
            if (!events.isEmpty() || remainingNanos <= 0) {
                ObjectNode out = JSON.createObjectNode();
                out.set("events", events);
                out.put("storeRevision", revision);
                return "200 " + out;
            }
            remainingNanos = changed.awaitNanos(remainingNanos);
        }
        return "503 {}";
    }

    private String transaction(JsonNode request) {
        for (JsonNode expected : request.get("expectedRevision")) {
            Item item = items.get(expected.get("key").textValue());
            if ((item == null ? 0 : item.revision) != expected.get("revision").longValue()) {
                return "412 {\"items\":[]}";
            }
        }
        for (JsonNode put : request.get("puts")) {
            long lease = put.get("lease").longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return "404 {}";
            }
        }
        revision++;
        for (JsonNode put : request.get("puts")) {
            write(
                    put.get("key").textValue(),
                    new Item(put.get("value").textValue(), revision, put.get("lease").longValue()));
        }
        for (JsonNode key : request.get("deletes")) {
            write(key.textValue(), null);
        }
        return "200 {\"revision\":" + revision + "}";
    }

    private void expireLeases() {
        Instant now = Instant.now();
        List<Long> expired =
                leases.entrySet().stream()
                        .filter(e -> e.getValue().expiresAt().isBefore(now))
                        .map(Map.Entry::getKey)
                        .toList();
        for (long lease : expired) {
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

    private static ObjectNode toJson(String key, Item item) {
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
