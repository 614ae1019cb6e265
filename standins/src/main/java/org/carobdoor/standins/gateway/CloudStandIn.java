package org.carobdoor.standins.gateway;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform's cloud API: accepts usage reports and orders, and refuses old fencing numbers. */
public final class CloudStandIn implements AutoCloseable {

    /** A call that was accepted. */
    public record Call(String path, String holder, long fence, String body) {}

    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final LocalHttp http = LocalHttp.start(this::serve);
    private long highestFence;

    private CloudStandIn() {}

    /** Starts the API. */
    public static CloudStandIn start() {
        return new CloudStandIn();
    }

    /** Returns where it listens. */
    public InetSocketAddress address() {
        return http.address();
    }

    /** Returns the calls that were accepted. */
    public List<Call> calls() {
        return List.copyOf(calls);
    }

    private synchronized void serve(HttpExchange x) throws IOException {
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long fence = Long.parseLong(x.getRequestHeaders().getFirst("X-Fencing-Token"));
        if (fence < highestFence) {
            LocalHttp.reply(x, 409, "{}");
            return;
        }
        highestFence = fence;
        calls.add(
                new Call(
                        x.getRequestURI().getPath(),
                        x.getRequestHeaders().getFirst("X-Duty-Holder"),
                        fence,
                        body));
        LocalHttp.reply(x, 200, "{}");
    }

    @Override
    public void close() {
        http.close();
    }
}
