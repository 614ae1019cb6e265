package org.carobdoor.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a transport since its start. Byte counts exclude TCP, UDP and IP headers. */
public final class TransportCounters {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder messagesSent = new LongAdder();
    final LongAdder messagesReceived = new LongAdder();
    final LongAdder authenticationFailures = new LongAdder();
    final LongAdder droppedSends = new LongAdder();
    final LongAdder readTimeouts = new LongAdder();
    final LongAdder lateReplies = new LongAdder();

    TransportCounters() {}

    /** Returns the number of bytes sent. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the number of bytes received. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the number of frames or datagrams sent. */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /** Returns the number of frames or datagrams received. */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /** Returns the number of handshakes, frames and datagrams rejected for a wrong key or MAC. */
    public long authenticationFailures() {
        return authenticationFailures.sum();
    }

    /**
     * Returns the number of one-way messages that were dropped before they were sent, and of
     * datagrams that could not be processed.
     */
    public long droppedSends() {
        return droppedSends.sum();
    }

    /** Returns the number of connections closed because no data was received in time. */
    public long readTimeouts() {
        return readTimeouts.sum();
    }

    /** Returns the number of replies received after the deadline of their call. */
    public long lateReplies() {
        return lateReplies.sum();
    }
}
