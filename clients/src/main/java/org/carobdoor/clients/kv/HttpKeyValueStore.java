package org.carobdoor.clients.kv;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;
import org.carobdoor.clients.http.JsonAnswer;
import org.carobdoor.clients.http.JsonCaller;

/**
 * The client of the platform's key-value service. Sends each request at most once.
 *
 * <pre>{@code
 * try (var store = HttpKeyValueStore.create("http://10.0.0.2:7000", InstantSource.system())) {
 *     var read = store.get("catalogue/entries/bids", deadline);
 * }
 * }</pre>
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {
    // The service must end a waiting watch before the call times out, or its answer is lost.
    private static final long WATCH_MARGIN_MILLIS = 200;

    private final JsonCaller caller;

    private HttpKeyValueStore(JsonCaller caller) {
        this.caller = caller;
    }

    /** Makes a client of the service at {@code baseUrl}; nothing is sent yet. */
    public static HttpKeyValueStore create(String baseUrl, InstantSource clock) {
        return new HttpKeyValueStore(new JsonCaller(baseUrl, clock));
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        String step = "kv.get";
        var url = caller.url("kv/entry").addQueryParameter("key", key).build();
        return caller.get(step, url, deadline)
                .flatMap(
                        answer ->
                                answer.isMissing()
                                        ? Result.ok(Optional.empty())
                                        : decode(step, answer, json -> Optional.of(value(json))));
    }

    @Override
    public Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        var body =
                JsonCaller.object()
                        .put("key", key)
                        .put("expectedVersion", expectedVersion)
                        .put("value", value.toByteArray());
        String step = "kv.cas";
        return caller.post(step, caller.url("kv/cas").build(), body, deadline)
                .flatMap(answer -> version(step, key, expectedVersion, answer));
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        var body = JsonCaller.object().put("key", key).put("expectedVersion", expectedVersion);
        String step = "kv.delete";
        return caller.post(step, caller.url("kv/delete").build(), body, deadline)
                .flatMap(answer -> version(step, key, expectedVersion, answer));
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        String step = "kv.list";
        var url = caller.url("kv/list").addQueryParameter("prefix", prefix).build();
        return caller.get(step, url, deadline)
                .flatMap(answer -> decode(step, answer, HttpKeyValueStore::values));
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        long left = caller.until(deadline).toMillis();
        long wait = Math.max(0, left - Math.min(WATCH_MARGIN_MILLIS, left / 2));
        var url =
                caller.url("kv/watch")
                        .addQueryParameter("prefix", prefix)
                        .addQueryParameter("after", Long.toString(afterRevision))
                        .addQueryParameter("waitMillis", Long.toString(wait))
                        .build();
        String step = "kv.watch";
        return caller.get(step, url, deadline)
                .flatMap(answer -> decode(step, answer, HttpKeyValueStore::values));
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        Duration ttl = caller.until(until);
        var body =
                JsonCaller.object()
                        .put("name", name)
                        .put("holder", holder)
                        .put("ttlMillis", ttl.toMillis());
        String step = "kv.lease";
        return caller.post(step, caller.url("kv/lease").build(), body, deadline)
                .flatMap(answer -> lease(step, answer, name, holder, until));
    }

    private Result<Lease> lease(
            String step, JsonAnswer answer, String name, String holder, Instant until) {
        if (answer.isConflict()) {
            return caller.failure(
                    FailureKind.CONFLICT, step, "another holder has the lease " + name);
        }
        long fencing = answer.body().path("fencing").asLong(-1);
        return !answer.isSuccess() || fencing < 0
                ? caller.failure(FailureKind.UNKNOWN, step, "the answer has no fencing number")
                : Result.ok(new Lease(name, holder, fencing, until));
    }

    private Result<Long> version(String step, String key, long expected, JsonAnswer answer) {
        long version = answer.body().path("version").asLong(-1);
        if (answer.isConflict()) {
            return caller.failure(
                    FailureKind.CONFLICT,
                    step,
                    key + " has version " + version + ", expected " + expected);
        }
        return !answer.isSuccess() || version < 0
                ? caller.failure(FailureKind.UNKNOWN, step, "the answer has no version")
                : Result.ok(version);
    }

    private <T> Result<T> decode(String step, JsonAnswer answer, Decoder<T> decoder) {
        if (!answer.isSuccess()) {
            return caller.failure(FailureKind.NOT_DONE, step, "status " + answer.status());
        }
        try {
            return Result.ok(decoder.decode(answer.body()));
        } catch (IOException e) {
            return caller.failure(
                    FailureKind.NOT_DONE, step, "the answer cannot be read: " + e.getMessage());
        }
    }

    /** Reads a value from JSON. */
    private interface Decoder<T> {
        T decode(JsonNode json) throws IOException;
    }

    private static ValueList values(JsonNode json) throws IOException {
        if (!json.path("revision").isIntegralNumber() || !json.path("entries").isArray()) {
            throw new IOException("revision or entries is missing");
        }
        List<VersionedValue> values = new ArrayList<>();
        for (JsonNode entry : json.path("entries")) {
            values.add(value(entry));
        }
        return new ValueList(json.path("revision").asLong(), values);
    }

    private static VersionedValue value(JsonNode json) throws IOException {
        JsonNode value = json.get("value");
        if (value == null || !json.path("version").isIntegralNumber()) {
            throw new IOException("value or version is missing");
        }
        return new VersionedValue(
                json.path("key").asText(),
                json.path("version").asLong(),
                json.path("revision").asLong(),
                Bytes.of(value.binaryValue()));
    }

    @Override
    public void close() {
        caller.close();
    }
}
