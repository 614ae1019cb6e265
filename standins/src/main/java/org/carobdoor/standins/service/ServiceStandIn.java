package org.carobdoor.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/**
 * An HTTP service that accepts requests on any path and logs each request before it responds.
 *
 * <pre>{@code
 * try (var service = ServiceStandIn.start(ServiceOptions.defaults())) {
 *     // ... place bids through carobdoor ...
 *     assertThat(service.requestLog().path("requests")).hasSize(1);
 * }
 * }</pre>
 */
public final class ServiceStandIn implements AutoCloseable {
    private final String id;
    private final List<ObjectNode> loggedRequests = new ArrayList<>();
    private final InstantSource clock = InstantSource.system();
    private final StandInServer server;
    private Faults faults = new Faults(0, false, false, 200, 0);

    private ServiceStandIn(ServiceOptions options) {
        id = options.id();
        server = StandInServer.start(options.port(), this::addRoutes);
    }

    private record Faults(
            long slowMillis, boolean silent, boolean refuse, int status, int loseAnswers) {}

    /** Starts a service. */
    public static ServiceStandIn start(ServiceOptions options) {
        return new ServiceStandIn(options);
    }

    /** Returns the base URL, without a trailing slash. */
    public String url() {
        return server.url();
    }

    /** Returns the port that the service listens on. */
    public int port() {
        return server.port();
    }

    /** Returns IP address and port in the format of the platform's list of VMs. */
    public String hostAndPort() {
        return "127.0.0.1:" + server.port();
    }

    /** Returns the requests received, in the format of {@code GET /ledger}. */
    public ObjectNode requestLog() {
        ObjectNode json = Json.object().put("id", id);
        ArrayNode list = json.putArray("requests");
        synchronized (this) {
            list.addAll(loggedRequests);
        }
        return json;
    }

    /**
     * Sets the faults that {@code json} contains and keeps the others: {@code slowMillis} (the
     * delay of each response), {@code silent} (whether the service never responds), {@code refuse}
     * (whether it responds with 503), {@code status} (of the other responses) and {@code
     * loseAnswers} (the number of following requests that take effect but get no response).
     */
    public synchronized void changeFaults(JsonNode json) {
        faults =
                new Faults(
                        json.path("slowMillis").asLong(faults.slowMillis),
                        json.path("silent").asBoolean(faults.silent),
                        json.path("refuse").asBoolean(faults.refuse),
                        json.path("status").asInt(faults.status),
                        json.path("loseAnswers").asInt(faults.loseAnswers));
    }

    private void addRoutes(Jooby app) {
        StandInServer.get(app, "/ledger", c -> Reply.ok(requestLog()));
        StandInServer.post(
                app,
                "/control/faults",
                c -> {
                    changeFaults(Json.body(c));
                    return Reply.ok(Json.object());
                });
        for (String method : List.of("GET", "POST", "PUT", "PATCH", "DELETE")) {
            app.route(method, "/*", c -> StandInServer.answer(c, this::serve));
        }
    }

    private Reply serve(Context context) {
        Faults currentFaults;
        ObjectNode logEntry = newLogEntry(context);
        synchronized (this) {
            currentFaults = faults;
            logEntry.put("sequence", loggedRequests.size() + 1)
                    .put("refused", currentFaults.refuse);
            loggedRequests.add(logEntry);
            if (currentFaults.loseAnswers > 0) {
                faults =
                        new Faults(
                                currentFaults.slowMillis,
                                currentFaults.silent,
                                currentFaults.refuse,
                                currentFaults.status,
                                currentFaults.loseAnswers - 1);
            }
        }
        if (currentFaults.silent) {
            StandInServer.waitForDisconnect(context);
        }
        if (currentFaults.refuse) {
            return Reply.error(503, "the service rejects all requests");
        }
        StandInServer.sleep(currentFaults.slowMillis);
        if (currentFaults.silent || currentFaults.loseAnswers > 0) {
            return Reply.dropped();
        }
        return new Reply(currentFaults.status, logEntry.deepCopy().put("service", id));
    }

    private ObjectNode newLogEntry(Context context) {
        return Json.object()
                .put("receivedAtMillis", clock.millis())
                .put("method", context.getMethod())
                .put("path", context.getRequestPath())
                .put("query", context.queryString())
                .put("idempotencyKey", context.header("Idempotency-Key").value(""))
                .put("requestId", context.header("X-Request-Id").value(""))
                .put("body", context.body().value(""));
    }

    @Override
    public void close() {
        server.close();
    }
}
