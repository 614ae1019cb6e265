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
 * An endpoint: answers each request with its own path and body, or a stream of numbered events, and
 * keeps a ledger of what it ran.
 */
public final class BackendStandIn implements AutoCloseable {

    /** How it treats requests. */
    public enum Mode {
        /** Answers. */
        NORMAL,
        /** Refuses without running. */
        REJECT,
        /** Says that the request was meant for another endpoint. */
        MISDIRECT,
        /** Runs the request and closes the connection without an answer. */
        BREAK,
        /** Breaks a stream off in the middle of its third event. */
        BREAK_STREAM,
        /** Answers after half a second. */
        SLOW
    }

    /** A request that was run. */
    public record Run(String method, String path, String id, Headers headers, String body) {}

    private static final int EVENTS = 5;
    private static final long SLOW_MILLIS = 500;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final List<Run> ledger = new CopyOnWriteArrayList<>();
    private final LocalHttp http = LocalHttp.start(this::serve);
    private final String id;
    private volatile Mode mode = Mode.NORMAL;

    private BackendStandIn(String id) {
        this.id = id;
    }

    /** Starts an endpoint named {@code id}. */
    public static BackendStandIn start(String id) {
        return new BackendStandIn(id);
    }

    /** Changes how it treats requests. */
    public void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Returns how many requests have arrived, run or not. */
    public int arrivals() {
        return arrivals.get();
    }

    /** Returns what it ran. */
    public List<Run> ledger() {
        return List.copyOf(ledger);
    }

    /** Writes its entry into the store. */
    public void register(StoreStandIn store, String service, String state) {
        store.putEndpoint(id, service, state, http.address());
    }

    private void serve(HttpExchange x) throws IOException {
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Headers in = x.getRequestHeaders();
        Headers out = x.getResponseHeaders();
        out.set("X-Attempt-Id", in.getFirst("X-Attempt-Id"));
        arrivals.incrementAndGet();
        if (mode == Mode.MISDIRECT) {
            LocalHttp.reply(x, 421, "");
            return;
        }
        if (mode == Mode.REJECT) {
            out.set("X-Not-Executed", "1");
            LocalHttp.reply(x, 503, "");
            return;
        }
        ledger.add(
                new Run(
                        x.getRequestMethod(),
                        x.getRequestURI().toString(),
                        in.getFirst("X-Attempt-Id"),
                        in,
                        body));
        out.set("X-Server-Stamp", "stamp-" + id);
        if (mode == Mode.BREAK) {
            x.close();
            return;
        }
        if (mode == Mode.SLOW) {
            sleep(SLOW_MILLIS);
        }
        answer(x, body);
    }

    private void answer(HttpExchange x, String body) throws IOException {
        if (!x.getRequestURI().getPath().startsWith("/llm/")) {
            LocalHttp.reply(x, 200, x.getRequestURI() + "|" + body);
            return;
        }
        String last = x.getRequestHeaders().getFirst("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        x.getResponseHeaders().set("Content-Type", "text/event-stream");
        x.sendResponseHeaders(200, 0);
        OutputStream stream = x.getResponseBody();
        for (int i = first; i <= EVENTS; i++) {
            if (mode == Mode.BREAK_STREAM && i == 3) {
                stream.write(("id: " + i + "\nda").getBytes(StandardCharsets.UTF_8));
                stream.flush();
                sleep(50);
                // Stopping the server closes its connections without the end of the answer.
                http.close();
                return;
            }
            String event = "id: " + i + "\ndata: token-" + i + "\n\n";
            stream.write(event.getBytes(StandardCharsets.UTF_8));
            stream.flush();
        }
        x.close();
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
