package org.carobdoor.node.endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.SendTracker;
import org.carobdoor.internal.endpoint.EndpointRecord;

/**
 * Opens token streams at model engines.
 *
 * <pre>{@code
 * try (EngineCall call = engines.open(endpoint, model, request, deadline).orElseThrow()) {
 *     EngineEvent event = call.next();
 * }
 * }</pre>
 */
public final class EngineClient {
    /**
     * The step of a failure when an engine refuses a request because it is at capacity or leaving.
     */
    public static final String STEP_REFUSED = "engine.refused";

    private static final String STEP_OPEN = "engine.open";
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EndpointHttp http;
    private final ObjectMapper mapper;
    private final InstantSource clock;

    /** Creates a client over {@code http}. */
    public EngineClient(EndpointHttp http, ObjectMapper mapper, InstantSource clock) {
        this.http = http;
        this.mapper = mapper;
        this.clock = clock;
    }

    /**
     * Opens a stream at {@code endpoint} that ends at {@code deadline} at the latest.
     *
     * @return the stream; a failure of kind {@link FailureKind#NOT_DONE} if nothing was sent or the
     *     engine refused to start, or {@link FailureKind#REJECTED} if the engine rejected the
     *     request as invalid
     */
    public Result<EngineCall> open(
            EndpointRecord endpoint, String model, EngineRequest request, Instant deadline) {
        String peer = endpoint.address().toString();
        SendTracker tracker = new SendTracker();
        Request httpRequest =
                new Request.Builder()
                        .url(
                                EndpointUrls.of(
                                        endpoint,
                                        request.chat()
                                                ? EndpointUrls.CHAT_PATH
                                                : EndpointUrls.COMPLETIONS_PATH))
                        .post(RequestBody.create(body(model, request), JSON))
                        .build();
        Call call = http.prepare(httpRequest, tracker, Duration.between(clock.instant(), deadline));
        return EndpointHttp.execute(call, tracker, STEP_OPEN, peer)
                .flatMap(response -> checkStatus(call, response, peer));
    }

    private Result<EngineCall> checkStatus(Call call, Response response, String peer) {
        int code = response.code();
        if (code == OK) {
            return Result.ok(new EngineCall(mapper, call, response, peer));
        }
        response.close();
        String detail = "the engine responded with status " + code;
        // An engine that is at capacity or leaving refuses the request before running it.
        if (code == TOO_MANY_REQUESTS || code == SERVICE_UNAVAILABLE) {
            return Result.err(FailureKind.NOT_DONE, STEP_REFUSED, peer, detail);
        }
        boolean invalid = code >= 400 && code < 500;
        FailureKind kind = invalid ? FailureKind.REJECTED : FailureKind.UNKNOWN;
        return Result.err(kind, STEP_OPEN, peer, detail);
    }

    private byte[] body(String model, EngineRequest request) {
        ObjectNode body = request.body().deepCopy();
        body.put("model", model);
        body.put("stream", true);
        body.put("priority", request.priority());
        body.remove("stream_options");
        if (request.resumeTokens() > 0) {
            body.put("resume_text", request.resumeText());
            body.put("resume_tokens", request.resumeTokens());
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
