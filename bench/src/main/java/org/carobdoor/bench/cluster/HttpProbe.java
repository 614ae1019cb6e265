package org.carobdoor.bench.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.carobdoor.clients.http.SingleAttemptHttp;

/** A plain HTTP client for tests and tools. It repeats nothing. */
public final class HttpProbe implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final OkHttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    private HttpProbe(OkHttpClient client) {
        this.client = client;
    }

    /** Creates a client. */
    public static HttpProbe create() {
        return new HttpProbe(SingleAttemptHttp.newBuilder().callTimeout(TIMEOUT).build());
    }

    /** Returns whether a GET of {@code url} is answered with a status below 300. */
    public boolean isOk(String url) {
        try (Response r = client.newCall(new Request.Builder().url(url).build()).execute()) {
            return r.isSuccessful();
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a GET with the bearer key {@code key}, which may be empty. */
    public Answer get(String url, String key) throws IOException {
        return send("GET", url, key, null, Map.of());
    }

    /** Sends a POST with a JSON body. */
    public Answer post(String url, String key, String json) throws IOException {
        return send("POST", url, key, json, Map.of());
    }

    /** Sends a request and reads the whole answer. */
    public Answer send(
            String method,
            String url,
            String key,
            @org.jspecify.annotations.Nullable String body,
            Map<String, String> headers)
            throws IOException {
        Request.Builder b = new Request.Builder().url(url);
        if (!key.isEmpty()) {
            b.header("Authorization", "Bearer " + key);
        }
        headers.forEach(b::header);
        RequestBody requestBody =
                body == null ? null : RequestBody.create(body, MediaType.get("application/json"));
        try (Response r = client.newCall(b.method(method, requestBody).build()).execute()) {
            return new Answer(r.code(), r.body().string());
        }
    }

    /** Parses JSON. */
    public JsonNode json(String text) throws IOException {
        return mapper.readTree(text);
    }

    /** Returns the client, for streams. */
    public OkHttpClient client() {
        return client;
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /**
     * A whole answer.
     *
     * @param status the HTTP status
     * @param body the body
     */
    public record Answer(int status, String body) {}
}
