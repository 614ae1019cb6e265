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
 * A plain service that answers any path and records each request before it answers.
 *
 * <pre>{@code
 * try (var service = ServiceStandIn.start(ServiceOptions.defaults())) {
 *     // ... place bids through carobdoor ...
 *     assertThat(service.ledger().path("requests")).hasSize(1);
 * }
 * }</pre>
 */
public final class ServiceStandIn implements AutoCloseable {
    private final String id;
    private final List<ObjectNode> requests = new ArrayList<>();
    private final InstantSource clock = InstantSource.system();
    private final StandInServer server;
    private Faults faults = new Faults(0, false, false, 200, 0);

    private ServiceStandIn(ServiceOptions options) {
        id = options.id();
        server = StandInServer.start(options.port(), this::addRoutes);
    }

    private record Faults(
            long slowMillis, boolean silent, boolean refuse, int status, int loseAnswers) {}

    /** Starts a plain service. */
    public static ServiceStandIn start(ServiceOptions options) {
        return new ServiceStandIn(options);
    }

    /** Returns the base URL, without a slash at the end. */
    public String url() {
        return server.url();
    }

    /** Returns the port. */
    public int port() {
        return server.port();
    }

    /** Returns IP address and port as the platform's list shows them. */
    public String hostAndPort() {
        return "127.0.0.1:" + server.port();
    }

    /** Returns the requests received, as {@code GET /ledger} does. */
    public ObjectNode ledger() {
        ObjectNode json = Json.object().put("id", id);
        ArrayNode list = json.putArray("requests");
        synchronized (this) {
            list.addAll(requests);
        }
        return json;
    }

    /**
     * Changes the faults that {@code json} names: {@code slowMillis}, {@code silent}, {@code
     * refuse}, {@code status} (of the answers) and {@code loseAnswers} (how many of the next
     * requests take effect without an answer).
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
        StandInServer.get(app, "/ledger", c -> Reply.ok(ledger()));
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
        Faults now;
        ObjectNode entry = describe(context);
        synchronized (this) {
            now = faults;
            entry.put("sequence", requests.size() + 1).put("refused", now.refuse);
            requests.add(entry);
            if (now.loseAnswers > 0) {
                faults =
                        new Faults(
                                now.slowMillis,
                                now.silent,
                                now.refuse,
                                now.status,
                                now.loseAnswers - 1);
            }
        }
        if (now.silent) {
            StandInServer.waitForDisconnect(context);
        }
        if (now.refuse) {
            return Reply.error(503, "the service refuses work");
        }
        StandInServer.sleep(now.slowMillis);
        if (now.silent || now.loseAnswers > 0) {
            return Reply.dropped();
        }
        return new Reply(now.status, entry.deepCopy().put("service", id));
    }

    private ObjectNode describe(Context context) {
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
