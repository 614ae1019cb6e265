package org.carobdoor.standins.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a free loopback port, with a virtual thread for each request. */
final class LocalHttp implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    private LocalHttp(HttpHandler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", handler);
        server.start();
    }

    static LocalHttp start(HttpHandler handler) {
        try {
            return new LocalHttp(handler);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    static Map<String, String> query(HttpExchange x) {
        Map<String, String> values = new HashMap<>();
        String query = x.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&", -1)) {
                int eq = pair.indexOf('=');
                values.put(
                        pair.substring(0, eq),
                        URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static void reply(HttpExchange x, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        x.getResponseBody().write(body);
        x.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
