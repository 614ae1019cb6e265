package org.carobdoor.standins.platform;

import static org.carobdoor.standins.http.StandInServer.longParameter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.carobdoor.Bytes;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.JsonHandler;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/** The HTTP routes of the key-value service. */
final class KeyValueRoutes {
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final KeyValueState state;
    private final ActiveFaults faults;
    private final InstantSource clock;
    private final TokenBucket writeLimit;
    private final TokenBucket readLimit;
    private final Map<String, LongAdder> callCounts = new ConcurrentSkipListMap<>();

    KeyValueRoutes(
            KeyValueState state,
            ActiveFaults faults,
            InstantSource clock,
            PlatformOptions options) {
        this.state = state;
        this.faults = faults;
        this.clock = clock;
        this.writeLimit = new TokenBucket(options.writesPerSecond());
        this.readLimit = new TokenBucket(options.readsPerSecond());
    }

    void addTo(Jooby app) {
        StandInServer.get(app, "/kv/entry", c -> read(c, "get", this::entry));
        StandInServer.get(app, "/kv/list", c -> read(c, "list", this::list));
        StandInServer.get(app, "/kv/watch", c -> read(c, "watch", this::watch));
        StandInServer.post(app, "/kv/cas", c -> write(c, "cas", this::compareAndSet));
        StandInServer.post(app, "/kv/delete", c -> write(c, "delete", this::delete));
        StandInServer.post(app, "/kv/lease", c -> write(c, "lease", this::lease));
        StandInServer.get(app, "/kv/stats", c -> Reply.ok(stats()));
    }

    /**
     * Returns the number of calls of each kind. Calls above the rate limit are counted under {@code
     * rateLimited} and those during an outage under {@code down}.
     */
    ObjectNode stats() {
        ObjectNode json = Json.object();
        callCounts.forEach((kind, count) -> json.put(kind, count.sum()));
        return json;
    }

    private Reply read(Context context, String kind, JsonHandler handler) throws Exception {
        return handleWithLimit(context, kind, readLimit, handler);
    }

    private Reply write(Context context, String kind, JsonHandler handler) throws Exception {
        Reply reply = handleWithLimit(context, kind, writeLimit, handler);
        return reply.status() == 200 && faults.consumeLostAnswer() ? Reply.dropped() : reply;
    }

    private Reply handleWithLimit(
            Context context, String kind, TokenBucket limit, JsonHandler handler) throws Exception {
        PlatformFaults currentFaults = faults.get();
        if (currentFaults.down()) {
            countCall("down");
            return Reply.dropped();
        }
        if (!limit.tryAcquire()) {
            countCall("rateLimited");
            return Reply.error(429, "rate limit of the key-value service exceeded");
        }
        countCall(kind);
        StandInServer.sleep(currentFaults.slowMillis());
        Reply reply = handler.handle(context);
        // If an outage starts while a call is processed, the response is lost.
        return faults.get().down() ? Reply.dropped() : reply;
    }

    private Reply entry(Context context) {
        Optional<VersionedValue> value = state.get(context.query("key").value());
        return value.map(v -> Reply.ok(toJson(v))).orElseGet(() -> Reply.error(404, "no such key"));
    }

    private Reply list(Context context) {
        return Reply.ok(toJson(state.list(context.query("prefix").value(""))));
    }

    private Reply watch(Context context) throws InterruptedException {
        var until = clock.instant().plusMillis(longParameter(context, "waitMillis", 0));
        String prefix = context.query("prefix").value("");
        return Reply.ok(toJson(state.watch(prefix, longParameter(context, "after", 0), until)));
    }

    private Reply compareAndSet(Context context) throws Exception {
        JsonNode body = Json.body(context);
        byte[] value = Base64.getDecoder().decode(body.path("value").asText());
        if (value.length > MAX_VALUE_BYTES) {
            return Reply.error(413, "the value is larger than " + MAX_VALUE_BYTES + " bytes");
        }
        return toReply(
                state.compareAndSet(
                        body.path("key").asText(),
                        body.path("expectedVersion").asLong(),
                        Bytes.of(value)));
    }

    private Reply delete(Context context) throws Exception {
        JsonNode body = Json.body(context);
        return toReply(
                state.delete(body.path("key").asText(), body.path("expectedVersion").asLong()));
    }

    private Reply lease(Context context) throws Exception {
        JsonNode body = Json.body(context);
        Duration ttl = Duration.ofMillis(Math.max(0, body.path("ttlMillis").asLong()));
        String holder = body.path("holder").asText();
        return state.lease(body.path("name").asText(), holder, ttl)
                .map(fencing -> Reply.ok(Json.object().put("fencing", fencing)))
                .orElseGet(() -> Reply.error(409, "the lease is held by another holder"));
    }

    private void countCall(String kind) {
        callCounts.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    private static Reply toReply(KeyValueState.WriteResult written) {
        ObjectNode json = Json.object().put("version", written.version());
        if (written.applied()) {
            return Reply.ok(json);
        }
        written.current().ifPresent(v -> json.put("value", base64(v)));
        return new Reply(409, json);
    }

    private static ObjectNode toJson(ValueList list) {
        ObjectNode json = Json.object().put("revision", list.revision());
        ArrayNode entries = json.putArray("entries");
        list.values().forEach(v -> entries.add(toJson(v)));
        return json;
    }

    private static ObjectNode toJson(VersionedValue value) {
        return Json.object()
                .put("key", value.key())
                .put("version", value.version())
                .put("revision", value.revision())
                .put("value", base64(value));
    }

    private static String base64(VersionedValue value) {
        return Base64.getEncoder().encodeToString(value.value().toByteArray());
    }
}
