package org.carobdoor.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts what a transport did since it started. Bytes exclude the headers of TCP, UDP and IP. */
public final class TransportCounters {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder messagesSent = new LongAdder();
    final LongAdder messagesReceived = new LongAdder();
    final LongAdder authenticationFailures = new LongAdder();
    final LongAdder droppedSends = new LongAdder();
    final LongAdder silentConnections = new LongAdder();
    final LongAdder lateReplies = new LongAdder();

    TransportCounters() {}

    /** Returns the bytes sent. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the bytes received. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the frames or datagrams sent. */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /** Returns the frames or datagrams received. */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /** Returns the handshakes, frames and datagrams refused for a wrong key or MAC. */
    public long authenticationFailures() {
        return authenticationFailures.sum();
    }

    /** Returns the messages without reply that were dropped before they were sent. */
    public long droppedSends() {
        return droppedSends.sum();
    }

    /** Returns the connections abandoned because no byte arrived in time. */
    public long silentConnections() {
        return silentConnections.sum();
    }

    /** Returns the replies that arrived after the deadline of their call. */
    public long lateReplies() {
        return lateReplies.sum();
    }
}
