package org.carobdoor.node.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.WorkService;
import org.carobdoor.node.work.WorkSpec;

/**
 * Routes for asynchronous requests: a request is submitted first, and its answer can be read later
 * from any node.
 *
 * <p>A request id contains 128 random bits and serves as a capability: whoever knows it may read
 * the answer.
 */
public final class AsyncRequestRoutes {
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final RequestPreconditions preconditions;
    private final WorkService work;
    private final InstantSource clock;

    /** Creates the routes. */
    public AsyncRequestRoutes(
            RequestPreconditions preconditions, WorkService work, InstantSource clock) {
        this.preconditions = preconditions;
        this.work = work;
        this.clock = clock;
    }

    /** Registers the routes with {@code app}. */
    public void install(Jooby app) {
        app.get("/v1/requests/{id}", this::readAnswer);
    }

    /**
     * Returns whether the request asks for asynchronous processing (RFC 7240, {@code
     * respond-async}).
     */
    static boolean prefersAsync(Context ctx) {
        String prefer = ctx.header("Prefer").valueOrNull();
        return prefer != null && prefer.contains("respond-async");
    }

    /** Submits {@code spec} and responds with status 202 and the location of the answer. */
    Context submit(Context ctx, WorkSpec spec) {
        return switch (work.submit(spec)) {
            case Result.Err<String>(var failure) ->
                    throw new ProblemException(notAcceptedProblem(failure));
            case Result.Ok<String>(var requestId) -> {
                String location = "/v1/requests/" + requestId;
                ctx.setResponseCode(ACCEPTED);
                ctx.setResponseHeader("Location", location);
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("id", requestId).put("location", location);
                yield sendJson(ctx, json);
            }
        };
    }

    /** Returns the problem document for a request that was not accepted. */
    static Problem notAcceptedProblem(Failure failure) {
        RunState runState =
                failure.kind() == FailureKind.NOT_DONE ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new Problem(SERVICE_UNAVAILABLE, "not-accepted", failure.toString(), runState);
    }

    private Context readAnswer(Context ctx) {
        preconditions.authenticate(ctx);
        String requestId = ctx.path("id").value();
        int offset = intQueryParameter(ctx, "offset", Integer.MAX_VALUE);
        int waitMillis = intQueryParameter(ctx, "wait_ms", (int) MAX_WAIT.toMillis());
        Instant deadline = clock.instant().plusMillis(waitMillis);
        return switch (work.read(requestId, offset, deadline)) {
            case Result.Err<AnswerPart>(var failure) ->
                    throw new ProblemException(
                            Problem.outcomeUnknown(
                                    NOT_FOUND, "unknown-request", failure.toString()));
            case Result.Ok<AnswerPart>(var part) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("id", requestId).put("state", part.state().label());
                json.put("offset", part.offset()).put("next_offset", part.nextOffset());
                json.put("text", part.text());
                if (part.state() == AnswerPart.State.FAILED) {
                    json.put("run_state", work.failureRunState(requestId).label());
                }
                yield sendJson(ctx, json);
            }
        };
    }

    private static int intQueryParameter(Context ctx, String name, int max) {
        String value = ctx.query(name).valueOrNull();
        if (value == null) {
            return 0;
        }
        if (!value.matches("\\d{1,9}") || Integer.parseInt(value) > max) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "bad-request",
                            name + ": must be an integer from 0 to " + max));
        }
        return Integer.parseInt(value);
    }

    private static Context sendJson(Context ctx, ObjectNode json) {
        ctx.setResponseType("application/json");
        return ctx.send(json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
