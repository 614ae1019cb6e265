package org.carobdoor.standins.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * An HTTP server on 127.0.0.1 whose handlers run on virtual threads.
 *
 * <pre>{@code
 * try (var server = StandInServer.start(0, app -> StandInServer.get(app, "/load", c -> load()))) {
 *     use(server.url());
 * }
 * }</pre>
 */
public final class StandInServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int BIND_ATTEMPTS = 5;
    private static final String PROBE_PATH = "/.stand-in";
    private static final long PROBE_TIMEOUT_SECONDS = 10;
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final NettyServer server;
    private final ExecutorService workers;
    private final Channel serverChannel;
    private final int port;

    private StandInServer(
            NettyServer server, ExecutorService workers, Channel serverChannel, int port) {
        this.server = server;
        this.workers = workers;
        this.serverChannel = serverChannel;
        this.port = port;
    }

    /**
     * Starts a server on the loopback interface.
     *
     * @param port the port, or 0 for any free one
     * @param routes adds the routes to the application
     * @throws IllegalStateException if the port cannot be bound or the server does not respond
     */
    public static StandInServer start(int port, Consumer<Jooby> routes) {
        for (int attempt = 1; ; attempt++) {
            try {
                return tryStart(port, routes);
            } catch (RuntimeException e) {
                // Jooby chooses a free port before binding it, so another process can bind it
                // first.
                if (port != 0 || attempt == BIND_ATTEMPTS) {
                    throw new IllegalStateException("cannot listen on " + HOST + ":" + port, e);
                }
            }
        }
    }

    private static StandInServer tryStart(int port, Consumer<Jooby> routes) {
        var workers = Executors.newVirtualThreadPerTaskExecutor();
        var app = new Jooby();
        app.setStartupSummary(List.of(StartupSummary.NONE));
        app.setExecutionMode(ExecutionMode.WORKER);
        app.setWorker(workers);
        app.error((context, cause, status) -> sendError(context, cause, status.value()));
        var serverChannel = new CompletableFuture<Channel>();
        app.get(
                PROBE_PATH,
                context -> {
                    serverChannel.complete(ClientConnection.of(context).serverChannel());
                    return context.send("");
                });
        routes.accept(app);
        var options = new ServerOptions().setPort(port).setIoThreads(2).setWorkerThreads(1);
        options.setHost(HOST);
        var server = new NettyServer();
        server.setOptions(options);
        try {
            server.start(app);
            Channel found = findServerChannel(options.getPort(), serverChannel);
            return new StandInServer(server, workers, found, options.getPort());
        } catch (RuntimeException e) {
            workers.shutdownNow();
            server.stop();
            throw e;
        }
    }

    /** Adds a handler for GET requests. */
    public static void get(Jooby app, String path, JsonHandler handler) {
        app.get(path, context -> answer(context, handler));
    }

    /** Adds a handler for POST requests. */
    public static void post(Jooby app, String path, JsonHandler handler) {
        app.post(path, context -> answer(context, handler));
    }

    /** Adds a handler for DELETE requests. */
    public static void delete(Jooby app, String path, JsonHandler handler) {
        app.delete(path, context -> answer(context, handler));
    }

    /** Runs {@code handler} and sends its response, unless the handler has sent it itself. */
    public static Object answer(Context context, JsonHandler handler) throws Exception {
        Reply reply = handleUnlessInterrupted(context, handler);
        if (reply.isSent()) {
            return context;
        }
        if (reply.isDropped()) {
            ClientConnection.of(context).drop();
        }
        context.setResponseCode(reply.isDropped() ? 500 : reply.status());
        context.setResponseType(MediaType.json);
        return context.send(Json.bytes(reply.body()));
    }

    // Closing the server interrupts the handlers. They send no response, like a killed process.
    private static Reply handleUnlessInterrupted(Context context, JsonHandler handler)
            throws Exception {
        try {
            return handler.handle(context);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Reply.dropped();
        }
    }

    /** Returns a query parameter as a {@code long}, or the default if it is missing. */
    public static long longParameter(Context context, String name, long defaultValue) {
        return context.query(name).longValue(defaultValue);
    }

    /** Sleeps without blocking a platform thread. Returns early if the server is closed. */
    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks until the client closes its connection or the server is closed. */
    public static void waitForDisconnect(Context context) {
        var connection = ClientConnection.of(context);
        while (connection.isOpen() && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return port;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns the base URL, without a trailing slash. */
    public String url() {
        return "http://" + HOST + ":" + port;
    }

    private static void sendError(Context context, Throwable cause, int status) {
        if (context.isResponseStarted()) {
            return;
        }
        // An IOException means that the request body is not valid JSON.
        int code = cause instanceof IOException ? 400 : status;
        context.setResponseCode(code);
        context.setResponseType(MediaType.json);
        context.send(Json.bytes(Json.object().put("error", String.valueOf(cause.getMessage()))));
    }

    /** Stops accepting connections, interrupts the handlers and stops the server. */
    @Override
    public void close() {
        // Netty can leave the listening socket open if its event loops are stopped first.
        serverChannel.close().awaitUninterruptibly();
        awaitRefusal();
        workers.shutdownNow();
        server.stop();
    }

    /**
     * Waits until connections are refused. Without native transport, as on arm64, the selector
     * closes the listening socket only in its next round, after the channel has reported its end.
     */
    private void awaitRefusal() {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLOSE_TIMEOUT_SECONDS);
        while (System.nanoTime() - deadline < 0) {
            try (var socket = new Socket(address().getAddress(), address().getPort())) {
                Thread.onSpinWait();
            } catch (IOException e) {
                return;
            }
        }
        throw new IllegalStateException(address() + " still accepts connections after its close");
    }

    // Jooby does not expose the listening channel, but it is the parent of every connection.
    private static Channel findServerChannel(int port, CompletableFuture<Channel> serverChannel) {
        String request = "GET " + PROBE_PATH + " HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n";
        try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return serverChannel.get(PROBE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException | ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the server did not respond to the startup probe", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the startup probe", e);
        }
    }
}
