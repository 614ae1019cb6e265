package org.carobdoor.node.gateway.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.log.DecisionLog;

/** Accepts the connections of callers and keeps track of them. */
public final class CallerServer implements AutoCloseable {
    /**
     * Number of connections that may wait to be accepted, for many callers that reconnect at once
     * after an outage.
     */
    private static final int BACKLOG = 1024;

    private static final long TIMEOUT_CHECK_MILLIS = 500;

    private final Set<CallerConnectionHandler> connections = new HashSet<>();
    private final RequestHandler requests;
    private final PollClock polls;
    private final DecisionLog log;
    private final Channel listener;

    private CallerServer(
            EventLoopGroup group,
            InetSocketAddress bind,
            RequestHandler requests,
            PollClock polls,
            DecisionLog log) {
        this.requests = requests;
        this.polls = polls;
        this.log = log;
        listener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer())
                        .bind(bind)
                        .syncUninterruptibly()
                        .channel();
        listener.eventLoop()
                .scheduleWithFixedDelay(
                        this::checkTimeouts,
                        TIMEOUT_CHECK_MILLIS,
                        TIMEOUT_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts listening.
     *
     * @param polls the polls of the event loop of {@code group}
     * @throws RuntimeException if the address cannot be bound
     */
    public static CallerServer open(
            EventLoopGroup group,
            InetSocketAddress bind,
            RequestHandler requests,
            PollClock polls,
            DecisionLog log) {
        return new CallerServer(group, bind, requests, polls, log);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of connections with an unfinished request. */
    public long busyCount() {
        return connections.stream().filter(CallerConnectionHandler::isBusy).count();
    }

    /**
     * Closes the listener and all connections, unless one of them has an unfinished request.
     *
     * @return whether they are closed
     */
    public boolean closeIfIdle() {
        if (busyCount() > 0) {
            return false;
        }
        close();
        List.copyOf(connections).forEach(CallerConnectionHandler::close);
        return true;
    }

    /**
     * Handles a request. One that may have waited unread waits for the end of the turn, so that it
     * meets what other nodes and the store have sent meanwhile.
     */
    void handle(Exchange exchange) {
        if (exchange.maxWaitNanos() == 0) {
            requests.handle(exchange);
        } else {
            handleAfterTurn(exchange);
        }
    }

    private void handleAfterTurn(Exchange exchange) {
        EventLoop loop = (EventLoop) listener.eventLoop();
        // The second task runs after all tasks that result from the present poll.
        loop.execute(() -> loop.execute(() -> handleIfCurrent(exchange)));
    }

    private void handleIfCurrent(Exchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        if (polls.isBehind(System.nanoTime())) {
            // A scheduled task, unlike one that is executed, always waits for the next turn.
            listener.eventLoop()
                    .schedule(() -> handleAfterTurn(exchange), 1, TimeUnit.MILLISECONDS);
        } else {
            requests.handle(exchange);
        }
    }

    void addConnection(CallerConnectionHandler h) {
        connections.add(h);
    }

    void removeConnection(CallerConnectionHandler h) {
        connections.remove(h);
    }

    void logMalformedRequest(int status) {
        log.line("request.malformed").add("status", status).write();
    }

    void logConnectionError(Throwable cause) {
        log.line("caller.connection_error").add("cause", cause.getClass().getSimpleName()).write();
    }

    private void checkTimeouts() {
        long now = System.nanoTime();
        List.copyOf(connections).forEach(h -> h.checkTimeouts(now));
    }

    /** Stops accepting connections; open ones remain. */
    @Override
    public void close() {
        listener.close();
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel ch) {
            CallerConnectionHandler handler =
                    new CallerConnectionHandler(CallerServer.this, requests, polls);
            ch.pipeline()
                    .addLast(new StrictRequestDecoder(handler, requests.limits().headerBytes()))
                    .addLast(new CallerResponseEncoder(handler))
                    .addLast(handler);
        }
    }
}
