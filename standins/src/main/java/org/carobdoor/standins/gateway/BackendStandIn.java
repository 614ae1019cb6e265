package org.carobdoor.standins.gateway;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP endpoint for tests. It echoes the path and body of each request, or responds with a
 * stream of numbered events below {@code /llm/}, and records the requests that it executed.
 */
public final class BackendStandIn implements AutoCloseable {

    /** How the endpoint handles requests. */
    public enum Mode {
        /** Executes the request and responds. */
        NORMAL,
        /** Responds with 503 and does not execute the request. */
        REJECT,
        /** Responds with 421 (Misdirected Request) and does not execute the request. */
        MISDIRECT,
        /** Executes the request and closes the connection without a response. */
        CLOSE_WITHOUT_RESPONSE,
        /** Closes the connection in the middle of the third event of a stream. */
        BREAK_STREAM,
        /** Executes the request and responds 500 ms later. */
        SLOW,
        /** Executes the request and responds with 500. */
        FAIL
    }

    /** A request that was executed. Its ID is the attempt ID from the request headers. */
    public record ExecutedRequest(
            String method, String path, String id, Headers headers, String body) {}

    private static final int EVENTS_PER_STREAM = 5;
    private static final long SLOW_RESPONSE_MILLIS = 500;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final List<ExecutedRequest> executedRequests = new CopyOnWriteArrayList<>();
    private final LocalHttpServer http = LocalHttpServer.start(this::serve);
    private final String id;
    private volatile Mode mode = Mode.NORMAL;

    private BackendStandIn(String id) {
        this.id = id;
    }

    /** Starts an endpoint with the given ID on a free loopback port. */
    public static BackendStandIn start(String id) {
        return new BackendStandIn(id);
    }

    /** Sets how requests are handled from now on. */
    public void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Returns the number of requests received, executed or not. */
    public int arrivals() {
        return arrivals.get();
    }

    /** Returns the requests that were executed, in the order of arrival. */
    public List<ExecutedRequest> executedRequests() {
        return List.copyOf(executedRequests);
    }

    /** Registers this endpoint in the store. */
    public void register(StoreStandIn store, String service, String state) {
        store.putEndpoint(id, service, state, http.address());
    }

    /** Registers this endpoint in the store as one of {@code version}. */
    public void registerVersion(StoreStandIn store, String service, String version) {
        store.putEndpoint(id, service, "ready", http.address(), 1_700_000_000_000L, version);
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Headers requestHeaders = exchange.getRequestHeaders();
        Headers responseHeaders = exchange.getResponseHeaders();
        responseHeaders.set("X-Attempt-Id", requestHeaders.getFirst("X-Attempt-Id"));
        arrivals.incrementAndGet();
        if (mode == Mode.MISDIRECT) {
            LocalHttpServer.sendJson(exchange, 421, "");
            return;
        }
        if (mode == Mode.REJECT) {
            responseHeaders.set("X-Not-Executed", "1");
            LocalHttpServer.sendJson(exchange, 503, "");
            return;
        }
        executedRequests.add(
                new ExecutedRequest(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().toString(),
                        requestHeaders.getFirst("X-Attempt-Id"),
                        requestHeaders,
                        body));
        responseHeaders.set("X-Server-Stamp", "stamp-" + id);
        if (mode == Mode.CLOSE_WITHOUT_RESPONSE) {
            exchange.close();
            return;
        }
        if (mode == Mode.SLOW) {
            sleep(SLOW_RESPONSE_MILLIS);
        }
        if (mode == Mode.FAIL) {
            LocalHttpServer.sendJson(exchange, 500, "");
            return;
        }
        respond(exchange, body);
    }

    private void respond(HttpExchange exchange, String body) throws IOException {
        if (!exchange.getRequestURI().getPath().startsWith("/llm/")) {
            LocalHttpServer.sendJson(exchange, 200, exchange.getRequestURI() + "|" + body);
            return;
        }
        String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream stream = exchange.getResponseBody();
        for (int i = first; i <= EVENTS_PER_STREAM; i++) {
            if (mode == Mode.BREAK_STREAM && i == 3) {
                stream.write(("id: " + i + "\nda").getBytes(StandardCharsets.UTF_8));
                stream.flush();
                sleep(50);
                // Stopping the server closes the connection before the response is complete.
                http.close();
                return;
            }
            String event = "id: " + i + "\ndata: token-" + i + "\n\n";
            stream.write(event.getBytes(StandardCharsets.UTF_8));
            stream.flush();
        }
        exchange.close();
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        http.close();
    }
}
