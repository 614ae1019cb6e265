package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.EndpointNews;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.quarantine.EndpointCrashDetector;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;

/** An endpoint with its load and this node's connections to it. Confined to the event loop. */
public final class Endpoint implements AutoCloseable {
    private final EndpointLoad load;
    private final EndpointConnectionPool connections;
    private final EndpointCrashDetector crashDetector = EndpointCrashDetector.create();
    private EndpointNews news;
    private long newsNanos = System.nanoTime();
    private boolean removed;

    Endpoint(
            EventLoop loop,
            EndpointEntry entry,
            EndpointNews news,
            long memoryTokens,
            int maxConnections,
            ResponseBufferLimit bufferLimit,
            Consumer<EndpointEntry> onLeaving,
            Runnable onConnectionOpened,
            UnexpectedAnswerListener unexpectedAnswers) {
        this.news = news;
        load = EndpointLoad.create(entry, memoryTokens, System.nanoTime());
        connections =
                new EndpointConnectionPool(
                        loop,
                        entry.address(),
                        maxConnections,
                        bufferLimit,
                        load::recordActivity,
                        head -> {
                            if (head.saysLeaving(load.entry().id())) {
                                onLeaving.accept(load.entry());
                            }
                        },
                        onConnectionOpened,
                        unexpectedAnswers);
        load.setMaxRunning(maxConnections);
    }

    /** Returns the load of the endpoint. */
    public EndpointLoad load() {
        return load;
    }

    /** Returns whether the endpoint may get new requests, as far as this node knows now. */
    public boolean isAccepting() {
        return !removed && load.entry().accepting();
    }

    /** Returns what the state of the endpoint rests on. */
    public EndpointNews news() {
        return news;
    }

    /** Returns how long this node has known the state of the endpoint, in milliseconds. */
    public long knownForMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - newsNanos);
    }

    /** Replaces the directory entry of the endpoint. */
    void update(EndpointEntry newer, EndpointNews evidence) {
        load.update(newer);
        setNews(evidence);
    }

    /** Marks the endpoint as removed from the directory, and closes its idle connections. */
    void remove(EndpointNews evidence) {
        removed = true;
        setNews(evidence);
        close();
    }

    private void setNews(EndpointNews evidence) {
        news = evidence;
        newsNanos = System.nanoTime();
    }

    /**
     * Creates the exchange of one request, whose connection may have been idle for at most {@code
     * maxIdleNanos}.
     */
    public EndpointExchange newExchange(long maxIdleNanos) {
        return new EndpointExchange(connections, maxIdleNanos);
    }

    /**
     * Checks whether the endpoint has crashed, after it has closed the connection of a request
     * whose answer had not begun or just begun.
     *
     * @param onCrash receives all such requests of this node if the endpoint has crashed
     */
    public void checkForCrash(RequestFeatures features, Consumer<List<RequestFeatures>> onCrash) {
        if (!crashDetector.recordBroken(features, System.nanoTime())) {
            return;
        }
        connections.probe(
                result -> {
                    if (result == EndpointConnectionPool.ProbeResult.CONNECTED) {
                        crashDetector.recordConnected();
                    } else if (result == EndpointConnectionPool.ProbeResult.REFUSED) {
                        List<RequestFeatures> suspects =
                                crashDetector.recordRefused(System.nanoTime());
                        if (!suspects.isEmpty()) {
                            onCrash.accept(suspects);
                        }
                    }
                });
    }

    /** Returns the number of connections of this node to the endpoint. */
    public int openConnections() {
        return connections.openCount();
    }

    /** Sets the maximum number of connections of this node to the endpoint. */
    void setMaxConnections(int max) {
        connections.setMaxOpen(max);
        load.setMaxRunning(max);
    }

    EndpointConnectionPool connections() {
        return connections;
    }

    /** Closes the idle connections; running requests continue. */
    @Override
    public void close() {
        connections.close();
    }
}
