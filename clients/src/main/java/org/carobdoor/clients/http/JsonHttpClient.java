package org.carobdoor.clients.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;

/**
 * A client of one JSON HTTP service. The kind of each failure states what is known about its
 * effect.
 *
 * <ul>
 *   <li>{@code NOT_DONE}: no byte was sent, the service rejected the request because of its rate
 *       limit (429) or because it is the wrong service (421), or the call only reads.
 *   <li>{@code UNKNOWN}: a write was sent, at least in part, and got no response, an unreadable
 *       one, or a status (3xx, 408, 5xx) that does not tell whether it took effect.
 *   <li>{@code REJECTED}: the service rejected the request as invalid (other 4xx) or for lack of
 *       capacity, which the body reports as {@code "reason": "no_capacity"}.
 * </ul>
 */
public final class JsonHttpClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Limits what a faulty service can make this process hold for one call. */
    private static final long MAX_BODY_BYTES = 8 << 20;

    private final HttpUrl base;
    private final String peer;
    private final InstantSource clock;
    private final OkHttpClient client;

    /**
     * Creates a client; sends nothing yet.
     *
     * @param baseUrl the URL that paths are resolved against
     * @throws IllegalArgumentException if {@code baseUrl} is not an HTTP URL
     */
    public JsonHttpClient(String baseUrl, InstantSource clock) {
        this.base = HttpUrl.get(baseUrl);
        this.peer = base.host() + ":" + base.port();
        this.clock = clock;
        this.client = SingleAttemptHttp.newBuilder().build();
    }

    /** Returns an empty JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Returns a URL builder for {@code path} below the base URL. */
    public HttpUrl.Builder url(String path) {
        return base.newBuilder().addPathSegments(path);
    }

    /** Sends a GET request; it is treated as a read. */
    public Result<JsonResponse> get(String step, HttpUrl url, Instant deadline) {
        return send(step, RequestType.READ, new Request.Builder().url(url).build(), deadline);
    }

    /** Sends a POST request; it is treated as a write. */
    public Result<JsonResponse> post(String step, HttpUrl url, JsonNode body, Instant deadline) {
        var json = RequestBody.create(bytes(body), JSON);
        var request = new Request.Builder().url(url).post(json).build();
        return send(step, RequestType.WRITE, request, deadline);
    }

    /** Sends a DELETE request; it is treated as a write. */
    public Result<JsonResponse> delete(String step, HttpUrl url, Instant deadline) {
        return send(
                step, RequestType.WRITE, new Request.Builder().url(url).delete().build(), deadline);
    }

    /** Returns a failed result that names the service as the peer. */
    public <T> Result<T> failure(FailureKind kind, String step, String detail) {
        return Result.err(kind, step, peer, detail);
    }

    /** Returns the time until {@code deadline} by the clock of this client. */
    public Duration timeUntil(Instant deadline) {
        return Duration.between(clock.instant(), deadline);
    }

    private Result<JsonResponse> send(
            String step, RequestType type, Request request, Instant deadline) {
        Duration remaining = timeUntil(deadline);
        if (remaining.isNegative() || remaining.isZero()) {
            return failure(FailureKind.NOT_DONE, step, "deadline passed before the call");
        }
        var tracker = new SendTracker();
        Call call = client.newCall(SingleAttemptHttp.withTracker(request, tracker));
        var unused = call.timeout().timeout(remaining.toNanos(), TimeUnit.NANOSECONDS);
        try (Response response = call.execute()) {
            BufferedSource body = response.body().source();
            if (body.request(MAX_BODY_BYTES + 1)) {
                return failure(
                        type.failureKindWithoutResponse(),
                        step,
                        "the response body exceeds " + MAX_BODY_BYTES + " B");
            }
            return toResult(step, type, response.code(), body.readByteArray());
        } catch (IOException e) {
            FailureKind kind =
                    tracker.mayHaveBeenSent()
                            ? type.failureKindWithoutResponse()
                            : FailureKind.NOT_DONE;
            return failure(kind, step, String.valueOf(e.getMessage()));
        }
    }

    private Result<JsonResponse> toResult(String step, RequestType type, int status, byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException e) {
            json = MAPPER.missingNode();
        }
        boolean success = status / 100 == 2;
        if (success && json.isMissingNode()) {
            return failure(type.failureKindWithoutResponse(), step, "response is not valid JSON");
        }
        if (success || status == 404 || status == 409) {
            return Result.ok(new JsonResponse(status, json));
        }
        String error = json.path("error").asText();
        String detail = "status " + status + (error.isEmpty() ? "" : ": " + error);
        boolean noCapacity = json.path("reason").asText().equals("no_capacity");
        return failure(
                noCapacity ? FailureKind.REJECTED : failureKindOf(type, status), step, detail);
    }

    private static FailureKind failureKindOf(RequestType type, int status) {
        return switch (status) {
            case 421, 429 -> FailureKind.NOT_DONE;
            case 408 -> type.failureKindWithoutResponse();
            default -> status / 100 == 4 ? FailureKind.REJECTED : type.failureKindWithoutResponse();
        };
    }

    private static byte[] bytes(JsonNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
