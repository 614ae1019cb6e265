package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.ErrorHandler;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import org.carobdoor.RunState;
import org.carobdoor.node.metrics.NodeMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers every failed request with a problem document and counts it. */
final class ProblemResponder implements ErrorHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ProblemResponder.class);
    private static final int TOO_LARGE = 413;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int SERVER_ERROR = 500;

    private final NodeMetrics metrics;

    ProblemResponder(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void apply(Context ctx, Throwable cause, StatusCode code) {
        respond(ctx, problemOf(cause, code));
    }

    /** Answers with {@code problem} unless the response has started. */
    void respond(Context ctx, Problem problem) {
        metrics.problem(problem.slug());
        if (ctx.isResponseStarted()) {
            return;
        }
        ctx.setResponseCode(problem.status());
        ctx.setResponseType(Problem.MEDIA_TYPE);
        ctx.send(problem.toJson().toString().getBytes(StandardCharsets.UTF_8));
    }

    private static Problem problemOf(Throwable cause, StatusCode code) {
        if (cause instanceof ProblemException e) {
            return e.problem();
        }
        int status = code.value();
        if (status == TOO_LARGE) {
            return Problem.notRun(TOO_LARGE, "body-too-large", "the body exceeds the limit");
        }
        if (status == METHOD_NOT_ALLOWED) {
            return Problem.notRun(status, "method-not-allowed", "this path has other methods");
        }
        if (status < SERVER_ERROR) {
            return Problem.notRun(status, "bad-request", code.reason());
        }
        // A fault of the program: one line with its trace, for whoever mends it.
        LOG.error("request failed unexpectedly", cause);
        return new Problem(SERVER_ERROR, "internal-error", "the node failed", RunState.UNKNOWN);
    }
}
