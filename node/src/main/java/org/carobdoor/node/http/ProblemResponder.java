package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.ErrorHandler;
import io.jooby.Router;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import org.carobdoor.RunState;
import org.carobdoor.node.metrics.NodeMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Responds to failed requests with problem documents and counts them. */
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

    /** Sends {@code problem} unless the response has started. */
    void respond(Context ctx, Problem problem) {
        metrics.problem(problem.slug());
        if (ctx.isResponseStarted()) {
            return;
        }
        ctx.setResponseCode(problem.status());
        ctx.setResponseType(Problem.MEDIA_TYPE);
        byte[] body = problem.toJson().toString().getBytes(StandardCharsets.UTF_8);
        if (ctx.getMethod().equals(Router.HEAD)) {
            ctx.setResponseLength(body.length);
            ctx.send(StatusCode.valueOf(problem.status()));
        } else {
            ctx.send(body);
        }
    }

    private static Problem problemOf(Throwable cause, StatusCode code) {
        if (cause instanceof ProblemException e) {
            return e.problem();
        }
        int status = code.value();
        if (status == TOO_LARGE) {
            return Problem.notRun(
                    TOO_LARGE, "body-too-large", "the request body exceeds the size limit");
        }
        if (status == METHOD_NOT_ALLOWED) {
            return Problem.notRun(
                    status, "method-not-allowed", "the path does not support this method");
        }
        if (status < SERVER_ERROR) {
            return Problem.notRun(status, "bad-request", code.reason());
        }
        // An unexpected exception indicates a bug, so it is logged with its stack trace.
        LOG.error("unexpected exception in a request handler", cause);
        return new Problem(
                SERVER_ERROR, "internal-error", "unexpected internal error", RunState.UNKNOWN);
    }
}
