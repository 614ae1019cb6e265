package org.carobdoor.node.http;

import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.node.metrics.NodeMetrics;

/**
 * The HTTP server of the daemon. Handlers run on virtual threads and may block.
 *
 * <pre>{@code
 * try (var server = HttpServer.start(address, maxBody, metrics, routes).orElseThrow()) { ... }
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private final NettyServer server;
    private final ExecutorService worker;

    private HttpServer(NettyServer server, ExecutorService worker) {
        this.server = server;
        this.worker = worker;
    }

    /**
     * Binds {@code address} and serves the routes that {@code registerRoutes} adds.
     *
     * @param maxBodyBytes the maximum size of a request body
     * @return the server; a failure of kind {@link FailureKind#REJECTED} if the address cannot be
     *     bound
     */
    public static Result<HttpServer> start(
            InetSocketAddress address,
            int maxBodyBytes,
            NodeMetrics metrics,
            Consumer<Jooby> registerRoutes) {
        ServerOptions options = new ServerOptions();
        options.setHost(address.getAddress().getHostAddress());
        options.setPort(address.getPort());
        options.setIoThreads(IO_THREADS);
        options.setMaxRequestSize(maxBodyBytes);
        // The server writes bodies larger than the buffer to a temporary file; the VMs have no
        // disk.
        options.setBufferSize(maxBodyBytes + 1);
        options.setMaxHeaderSize(MAX_HEADER_BYTES);
        options.setDefaultHeaders(false);
        ExecutorService worker = Executors.newVirtualThreadPerTaskExecutor();
        NettyServer server = new NettyServer(worker);
        server.setOptions(options);
        Jooby app = new Jooby();
        app.setStartupSummary(List.of());
        app.error(new ProblemResponder(metrics));
        registerRoutes.accept(app);
        try {
            server.start(app);
            return Result.ok(new HttpServer(server, worker));
        } catch (RuntimeException e) {
            worker.shutdownNow();
            return Result.err(
                    FailureKind.REJECTED,
                    "http.bind",
                    address.toString(),
                    "listen.http: cannot bind the address: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        server.stop();
        worker.shutdownNow();
    }
}
