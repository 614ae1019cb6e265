package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.EventLoop;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;

/** An endpoint with its load and this node's connections to it. Belongs to the event loop. */
public final class Endpoint implements AutoCloseable {
    private final EndpointLoad load;
    private final EndpointConnections connections;

    Endpoint(
            EventLoop loop,
            EndpointEntry entry,
            long memoryTokens,
            int maxConnections,
            AnswerSpace space,
            Runnable connectionOpened) {
        load = EndpointLoad.create(entry, memoryTokens, System.nanoTime());
        connections =
                new EndpointConnections(
                        loop,
                        entry.address(),
                        maxConnections,
                        space,
                        load::recordActivity,
                        connectionOpened);
        load.setMaxRunning(maxConnections);
    }

    /** Returns its load. */
    public EndpointLoad load() {
        return load;
    }

    /** Takes a connection for one send. */
    public Send openSend(long maxIdleNanos) {
        return new Send(connections, maxIdleNanos);
    }

    /** Sets how many connections this node may have to the endpoint. */
    void setMaxConnections(int max) {
        connections.setMaxOpen(max);
        load.setMaxRunning(max);
    }

    EndpointConnections connections() {
        return connections;
    }

    /** Closes the idle connections; running requests go on. */
    @Override
    public void close() {
        connections.close();
    }
}
