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

/** An HTTP client for the processes of a {@link LocalCluster}. It never retries a request. */
public final class ClusterHttpClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final OkHttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    private ClusterHttpClient(OkHttpClient client) {
        this.client = client;
    }

    /** Creates a client whose calls time out after 60 s. */
    public static ClusterHttpClient create() {
        return new ClusterHttpClient(SingleAttemptHttp.newBuilder().callTimeout(TIMEOUT).build());
    }

    /** Returns whether a GET of {@code url} returns a 2xx status. */
    public boolean isOk(String url) {
        try (Response r = client.newCall(new Request.Builder().url(url).build()).execute()) {
            return r.isSuccessful();
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a GET request with the bearer token {@code key}; an empty key sends no header. */
    public HttpResult get(String url, String key) throws IOException {
        return send("GET", url, key, null, Map.of());
    }

    /** Sends a POST request with a JSON body. */
    public HttpResult post(String url, String key, String json) throws IOException {
        return send("POST", url, key, json, Map.of());
    }

    /** Sends a request and reads the complete response. */
    public HttpResult send(
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
            return new HttpResult(r.code(), r.body().string());
        }
    }

    /** Parses JSON. */
    public JsonNode json(String text) throws IOException {
        return mapper.readTree(text);
    }

    /** Returns the underlying client, for reading streamed responses. */
    public OkHttpClient client() {
        return client;
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** The status and the complete body of a response. */
    public record HttpResult(int status, String body) {}
}
