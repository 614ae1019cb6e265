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
 * Submits requests whose answer is read later, and reads their answers at any node.
 *
 * <p>The id of a request holds 128 random bits, so that knowing it proves the right to read it.
 */
public final class AcceptedRoutes {
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerGuard guard;
    private final WorkService work;
    private final InstantSource clock;

    /** Creates the routes. */
    public AcceptedRoutes(CallerGuard guard, WorkService work, InstantSource clock) {
        this.guard = guard;
        this.work = work;
        this.clock = clock;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        app.get("/v1/requests/{id}", this::read);
    }

    /** Returns whether the caller asked for the request to be submitted (RFC 7240). */
    static boolean isSubmission(Context ctx) {
        String prefer = ctx.header("Prefer").valueOrNull();
        return prefer != null && prefer.contains("respond-async");
    }

    /** Submits {@code spec} and answers with status 202 and the place of the answer. */
    Context submit(Context ctx, WorkSpec spec) {
        return switch (work.submit(spec)) {
            case Result.Err<String>(var failure) -> throw new ProblemException(refusal(failure));
            case Result.Ok<String>(var id) -> {
                String location = "/v1/requests/" + id;
                ctx.setResponseCode(ACCEPTED);
                ctx.setResponseHeader("Location", location);
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("id", id).put("location", location);
                yield send(ctx, json);
            }
        };
    }

    /** Returns the problem of a request that was not accepted. */
    static Problem refusal(Failure failure) {
        RunState state =
                failure.kind() == FailureKind.NOT_DONE ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new Problem(SERVICE_UNAVAILABLE, "not-accepted", failure.toString(), state);
    }

    private Context read(Context ctx) {
        guard.authenticate(ctx);
        String id = ctx.path("id").value();
        int offset = number(ctx, "offset", Integer.MAX_VALUE);
        int waitMillis = number(ctx, "wait_ms", (int) MAX_WAIT.toMillis());
        Instant deadline = clock.instant().plusMillis(waitMillis);
        return switch (work.read(id, offset, deadline)) {
            case Result.Err<AnswerPart>(var failure) ->
                    throw new ProblemException(
                            Problem.unknown(NOT_FOUND, "unknown-request", failure.toString()));
            case Result.Ok<AnswerPart>(var part) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("id", id).put("state", part.state().label());
                json.put("offset", part.offset()).put("next_offset", part.nextOffset());
                json.put("text", part.text());
                if (part.state() == AnswerPart.State.FAILED) {
                    json.put("run_state", work.failureRunState(id).label());
                }
                yield send(ctx, json);
            }
        };
    }

    private static int number(Context ctx, String name, int max) {
        String value = ctx.query(name).valueOrNull();
        if (value == null) {
            return 0;
        }
        if (!value.matches("\\d{1,9}") || Integer.parseInt(value) > max) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "bad-request",
                            name + ": must be a whole number from 0 to " + max));
        }
        return Integer.parseInt(value);
    }

    private static Context send(Context ctx, ObjectNode json) {
        ctx.setResponseType("application/json");
        return ctx.send(json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
