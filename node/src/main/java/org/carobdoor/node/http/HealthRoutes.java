package org.carobdoor.node.http;

import io.jooby.Jooby;
import java.util.function.Supplier;
import org.carobdoor.node.metrics.NodeMetrics;

/** The routes for the platform's balancer and for monitoring; they need no key. */
public final class HealthRoutes {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final NodeMetrics metrics;
    private final Supplier<String> notReady;

    /**
     * Creates the routes.
     *
     * @param notReady returns why the node takes no new work, empty if it does
     */
    public HealthRoutes(NodeMetrics metrics, Supplier<String> notReady) {
        this.metrics = metrics;
        this.notReady = notReady;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        app.get("/healthz", ctx -> ctx.send("ok\n"));
        app.get(
                "/readyz",
                ctx -> {
                    String reason = notReady.get();
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
