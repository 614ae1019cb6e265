package org.carobdoor.standins.gateway;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The platform's cloud API for tests. It accepts usage reports and orders, and rejects calls whose
 * fencing token is lower than the highest one seen.
 */
public final class CloudStandIn implements AutoCloseable {

    /** An accepted call, with the duty holder and the fencing token from its headers. */
    public record Call(String path, String holder, long fence, String body) {}

    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final LocalHttpServer http = LocalHttpServer.start(this::serve);
    private long highestFence;

    private CloudStandIn() {}

    /** Starts the API on a free loopback port. */
    public static CloudStandIn start() {
        return new CloudStandIn();
    }

    /** Returns the address that the API listens on. */
    public InetSocketAddress address() {
        return http.address();
    }

    /** Returns the accepted calls, in the order of arrival. */
    public List<Call> calls() {
        return List.copyOf(calls);
    }

    private synchronized void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
        if (fence < highestFence) {
            LocalHttpServer.sendJson(exchange, 409, "{}");
            return;
        }
        highestFence = fence;
        calls.add(
                new Call(
                        exchange.getRequestURI().getPath(),
                        exchange.getRequestHeaders().getFirst("X-Duty-Holder"),
                        fence,
                        body));
        LocalHttpServer.sendJson(exchange, 200, "{}");
    }

    @Override
    public void close() {
        http.close();
    }
}
