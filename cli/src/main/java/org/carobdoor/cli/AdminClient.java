package org.carobdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.SendTracker;
import org.carobdoor.clients.http.SingleAttemptHttp;

/** A client of a node's admin interface. Sends each request at most once. */
final class AdminClient implements AutoCloseable {
    private static final MediaType TOML = MediaType.get("application/toml");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpUrl node;
    private final String key;
    private final String operator;
    private final OkHttpClient client;

    AdminClient(HttpUrl node, String key, String operator, Duration timeout) {
        this.node = node;
        this.key = key;
        this.operator = operator;
        this.client = SingleAttemptHttp.newBuilder().callTimeout(timeout).build();
    }

    Result<AdminResponse> get(String path) {
        return send(request(path), path);
    }

    Result<AdminResponse> post(String path) {
        return send(request(path).post(RequestBody.create(new byte[0])), path);
    }

    Result<AdminResponse> putEntry(String name, long expected, String text) {
        String path = "admin/catalogue/" + name;
        return send(edit(path, expected).put(RequestBody.create(text, TOML)), path);
    }

    Result<AdminResponse> deleteEntry(String name, long expected) {
        String path = "admin/catalogue/" + name;
        return send(edit(path, expected).delete(), path);
    }

    private Request.Builder edit(String path, long expected) {
        HttpUrl url =
                node.newBuilder()
                        .addPathSegments(path)
                        .addQueryParameter("expected", Long.toString(expected))
                        .build();
        return request(path).url(url).header("X-Operator", operator);
    }

    private Request.Builder request(String path) {
        return new Request.Builder()
                .url(node.newBuilder().addPathSegments(path).build())
                .header("Authorization", "Bearer " + key);
    }

    private Result<AdminResponse> send(Request.Builder builder, String path) {
        var tracker = new SendTracker();
        Request request = SingleAttemptHttp.withTracker(builder.build(), tracker);
        boolean readOnly = request.method().equals("GET");
        try (Response response = client.newCall(request).execute()) {
            return Result.ok(new AdminResponse(response.code(), json(response.body().bytes())));
        } catch (IOException e) {
            boolean unknown = tracker.mayHaveBeenSent() && !readOnly;
            return Result.err(
                    unknown ? FailureKind.UNKNOWN : FailureKind.NOT_DONE,
                    request.method() + " /" + path,
                    node.host() + ":" + node.port(),
                    String.valueOf(e.getMessage()));
        }
    }

    private static JsonNode json(byte[] body) {
        try {
            JsonNode json = MAPPER.readTree(body);
            return json.isMissingNode() ? MAPPER.createObjectNode() : json;
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
