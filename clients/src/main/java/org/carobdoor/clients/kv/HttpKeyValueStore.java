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
import org.carobdoor.clients.http.JsonHttpClient;
import org.carobdoor.clients.http.JsonResponse;

/**
 * A client of the platform's key-value service. Sends each request at most once.
 *
 * <pre>{@code
 * try (var store = HttpKeyValueStore.create("http://10.0.0.2:7000", InstantSource.system())) {
 *     var read = store.get("catalogue/entries/bids", deadline);
 * }
 * }</pre>
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {
    // The service must answer a watch before the client times out, or the response is lost.
    private static final long RESPONSE_MARGIN_MILLIS = 200;

    private final JsonHttpClient client;

    private HttpKeyValueStore(JsonHttpClient client) {
        this.client = client;
    }

    /** Creates a client of the service at {@code baseUrl}; sends nothing yet. */
    public static HttpKeyValueStore create(String baseUrl, InstantSource clock) {
        return new HttpKeyValueStore(new JsonHttpClient(baseUrl, clock));
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        String step = "kv.get";
        var url = client.url("kv/entry").addQueryParameter("key", key).build();
        return client.get(step, url, deadline)
                .flatMap(
                        response ->
                                response.isNotFound()
                                        ? Result.ok(Optional.empty())
                                        : decode(
                                                step,
                                                response,
                                                json -> Optional.of(decodeValue(json))));
    }

    @Override
    public Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        var body =
                JsonHttpClient.newObject()
                        .put("key", key)
                        .put("expectedVersion", expectedVersion)
                        .put("value", value.toByteArray());
        String step = "kv.cas";
        return client.post(step, client.url("kv/cas").build(), body, deadline)
                .flatMap(response -> decodeVersion(step, key, expectedVersion, response));
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        var body =
                JsonHttpClient.newObject().put("key", key).put("expectedVersion", expectedVersion);
        String step = "kv.delete";
        return client.post(step, client.url("kv/delete").build(), body, deadline)
                .flatMap(response -> decodeVersion(step, key, expectedVersion, response));
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        String step = "kv.list";
        var url = client.url("kv/list").addQueryParameter("prefix", prefix).build();
        return client.get(step, url, deadline)
                .flatMap(response -> decode(step, response, HttpKeyValueStore::decodeValues));
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        long remaining = client.timeUntil(deadline).toMillis();
        long wait = Math.max(0, remaining - Math.min(RESPONSE_MARGIN_MILLIS, remaining / 2));
        var url =
                client.url("kv/watch")
                        .addQueryParameter("prefix", prefix)
                        .addQueryParameter("after", Long.toString(afterRevision))
                        .addQueryParameter("waitMillis", Long.toString(wait))
                        .build();
        String step = "kv.watch";
        return client.get(step, url, deadline)
                .flatMap(response -> decode(step, response, HttpKeyValueStore::decodeValues));
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        Duration ttl = client.timeUntil(until);
        var body =
                JsonHttpClient.newObject()
                        .put("name", name)
                        .put("holder", holder)
                        .put("ttlMillis", ttl.toMillis());
        String step = "kv.lease";
        return client.post(step, client.url("kv/lease").build(), body, deadline)
                .flatMap(response -> decodeLease(step, response, name, holder, until));
    }

    private Result<Lease> decodeLease(
            String step, JsonResponse response, String name, String holder, Instant until) {
        if (response.isConflict()) {
            return client.failure(
                    FailureKind.CONFLICT, step, "another holder has the lease " + name);
        }
        long fencing = response.body().path("fencing").asLong(-1);
        return !response.isSuccess() || fencing < 0
                ? client.failure(FailureKind.UNKNOWN, step, "response has no fencing token")
                : Result.ok(new Lease(name, holder, fencing, until));
    }

    private Result<Long> decodeVersion(
            String step, String key, long expected, JsonResponse response) {
        long version = response.body().path("version").asLong(-1);
        if (response.isConflict()) {
            return client.failure(
                    FailureKind.CONFLICT,
                    step,
                    key + " has version " + version + ", expected " + expected);
        }
        return !response.isSuccess() || version < 0
                ? client.failure(FailureKind.UNKNOWN, step, "response has no version")
                : Result.ok(version);
    }

    private <T> Result<T> decode(String step, JsonResponse response, Decoder<T> decoder) {
        if (!response.isSuccess()) {
            return client.failure(FailureKind.NOT_DONE, step, "status " + response.status());
        }
        try {
            return Result.ok(decoder.decode(response.body()));
        } catch (IOException e) {
            return client.failure(
                    FailureKind.NOT_DONE, step, "invalid response: " + e.getMessage());
        }
    }

    /** Converts a response body to a value. */
    private interface Decoder<T> {
        T decode(JsonNode json) throws IOException;
    }

    private static ValueList decodeValues(JsonNode json) throws IOException {
        if (!json.path("revision").isIntegralNumber() || !json.path("entries").isArray()) {
            throw new IOException("revision or entries is missing");
        }
        List<VersionedValue> values = new ArrayList<>();
        for (JsonNode entry : json.path("entries")) {
            values.add(decodeValue(entry));
        }
        return new ValueList(json.path("revision").asLong(), values);
    }

    private static VersionedValue decodeValue(JsonNode json) throws IOException {
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
        client.close();
    }
}
