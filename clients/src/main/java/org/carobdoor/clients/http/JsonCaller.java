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
import org.carobdoor.FailureKind;
import org.carobdoor.Result;

/**
 * Calls one HTTP service that speaks JSON, and states for each failure what is known of its effect.
 *
 * <ul>
 *   <li>{@code NOT_DONE}: no byte was sent, the service refused for its rate limit (429) or because
 *       it is the wrong one (421), or the call only reads.
 *   <li>{@code UNKNOWN}: a write was sent, at least in part, and got no answer, one that cannot be
 *       read, or a status (3xx, 408, 5xx) that does not say what happened.
 *   <li>{@code REJECTED}: the service refused the request as invalid (other 4xx), or for lack of
 *       capacity, which the body states as {@code "reason": "no_capacity"}.
 * </ul>
 */
public final class JsonCaller implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpUrl base;
    private final String peer;
    private final InstantSource clock;
    private final OkHttpClient client;

    /**
     * Makes a caller; nothing is sent yet.
     *
     * @param baseUrl the URL that the paths are resolved against
     * @throws IllegalArgumentException if {@code baseUrl} is not an HTTP URL
     */
    public JsonCaller(String baseUrl, InstantSource clock) {
        this.base = HttpUrl.get(baseUrl);
        this.peer = base.host() + ":" + base.port();
        this.clock = clock;
        this.client = SingleAttemptHttp.newBuilder().build();
    }

    /** Returns an empty JSON object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns a builder of URLs below the base URL. */
    public HttpUrl.Builder url(String path) {
        return base.newBuilder().addPathSegments(path);
    }

    /** Sends a GET request. */
    public Result<JsonAnswer> get(String step, HttpUrl url, Instant deadline) {
        return send(step, Effect.READ, new Request.Builder().url(url).build(), deadline);
    }

    /** Sends a POST request that changes something. */
    public Result<JsonAnswer> post(String step, HttpUrl url, JsonNode body, Instant deadline) {
        var json = RequestBody.create(bytes(body), JSON);
        var request = new Request.Builder().url(url).post(json).build();
        return send(step, Effect.WRITE, request, deadline);
    }

    /** Sends a DELETE request. */
    public Result<JsonAnswer> delete(String step, HttpUrl url, Instant deadline) {
        return send(step, Effect.WRITE, new Request.Builder().url(url).delete().build(), deadline);
    }

    /** Returns a failed outcome that names this peer. */
    public <T> Result<T> failure(FailureKind kind, String step, String detail) {
        return Result.err(kind, step, peer, detail);
    }

    /** Returns the time until {@code deadline} by the clock of this caller. */
    public Duration until(Instant deadline) {
        return Duration.between(clock.instant(), deadline);
    }

    private Result<JsonAnswer> send(String step, Effect effect, Request request, Instant deadline) {
        Duration left = until(deadline);
        if (left.isNegative() || left.isZero()) {
            return failure(FailureKind.NOT_DONE, step, "the deadline had passed before the call");
        }
        var trace = new SendTrace();
        Call call = client.newCall(SingleAttemptHttp.traced(request, trace));
        var unused = call.timeout().timeout(left.toNanos(), TimeUnit.NANOSECONDS);
        try (Response response = call.execute()) {
            return classify(step, effect, response.code(), response.body().bytes());
        } catch (IOException e) {
            FailureKind kind =
                    trace.mayHaveBeenSent() ? effect.whenUnanswered() : FailureKind.NOT_DONE;
            return failure(kind, step, String.valueOf(e.getMessage()));
        }
    }

    private Result<JsonAnswer> classify(String step, Effect effect, int status, byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException e) {
            json = MAPPER.missingNode();
        }
        boolean success = status / 100 == 2;
        if (success && json.isMissingNode()) {
            return failure(effect.whenUnanswered(), step, "the answer is not valid JSON");
        }
        if (success || status == 404 || status == 409) {
            return Result.ok(new JsonAnswer(status, json));
        }
        String error = json.path("error").asText();
        String detail = "status " + status + (error.isEmpty() ? "" : ": " + error);
        boolean capacity = json.path("reason").asText().equals("no_capacity");
        return failure(capacity ? FailureKind.REJECTED : kindOf(effect, status), step, detail);
    }

    private static FailureKind kindOf(Effect effect, int status) {
        return switch (status) {
            case 421, 429 -> FailureKind.NOT_DONE;
            case 408 -> effect.whenUnanswered();
            default -> status / 100 == 4 ? FailureKind.REJECTED : effect.whenUnanswered();
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
