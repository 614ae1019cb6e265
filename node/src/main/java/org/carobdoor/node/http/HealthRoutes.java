package org.carobdoor.node.http;

import io.jooby.Jooby;
import java.util.function.Supplier;
import org.carobdoor.node.metrics.NodeMetrics;

/** Unauthenticated routes for the load balancer and for monitoring. */
public final class HealthRoutes {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final NodeMetrics metrics;
    private final Supplier<String> notReadyReason;

    /**
     * Creates the routes.
     *
     * @param notReadyReason returns why the node accepts no new requests, or an empty string if it
     *     does
     */
    public HealthRoutes(NodeMetrics metrics, Supplier<String> notReadyReason) {
        this.metrics = metrics;
        this.notReadyReason = notReadyReason;
    }

    /** Registers the routes with {@code app}. */
    public void install(Jooby app) {
        app.get("/healthz", ctx -> ctx.send("ok\n"));
        app.get(
                "/readyz",
                ctx -> {
                    String reason = notReadyReason.get();
                    if (!reason.isEmpty()) {
                        ctx.setResponseCode(SERVICE_UNAVAILABLE);
                        return ctx.send("not ready: " + reason + "\n");
                    }
                    return ctx.send("ready\n");
                });
        app.get(
                "/metrics",
                ctx -> {
                    ctx.setResponseType("text/plain; version=0.0.4; charset=utf-8");
                    return ctx.send(metrics.scrape());
                });
    }
}
