package org.carobdoor.wire;

import java.time.Duration;

/**
 * Limits of the transport between nodes.
 *
 * @param maxFrameBytes the largest frame sent or accepted; a connection that announces a larger one
 *     is closed
 * @param maxQueuedMessages the queue limit of each peer, in messages
 * @param maxQueuedBytes the queue limit of each peer, in bytes
 * @param maxConcurrentHandlers the limit of messages handled concurrently; a call above it gets a
 *     reply of kind {@code NOT_HANDLED}
 * @param connectTimeout the timeout of connecting, and again of the handshake
 * @param readTimeout how long a connection may receive no data while a call or ping is pending; a
 *     ping is sent after half of it, so that a slow handler does not cause a timeout
 * @param idlePingInterval how long a connection without pending calls may receive no data before a
 *     ping is sent
 * @param idleCloseTimeout how long no message may be queued before the connection is closed
 */
public record TransportSettings(
        int maxFrameBytes,
        int maxQueuedMessages,
        int maxQueuedBytes,
        int maxConcurrentHandlers,
        Duration connectTimeout,
        Duration readTimeout,
        Duration idlePingInterval,
        Duration idleCloseTimeout) {

    /** Returns the production settings. */
    public static TransportSettings defaults() {
        return new TransportSettings(
                4 << 20,
                4096,
                16 << 20,
                4096,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofSeconds(60));
    }

    /** Returns a copy with another frame size limit. */
    public TransportSettings withMaxFrameBytes(int bytes) {
        return new TransportSettings(
                bytes,
                maxQueuedMessages,
                maxQueuedBytes,
                maxConcurrentHandlers,
                connectTimeout,
                readTimeout,
                idlePingInterval,
                idleCloseTimeout);
    }

    /** Returns a copy with another queue limit. */
    public TransportSettings withMaxQueuedMessages(int messages) {
        return new TransportSettings(
                maxFrameBytes,
                messages,
                maxQueuedBytes,
                maxConcurrentHandlers,
                connectTimeout,
                readTimeout,
                idlePingInterval,
                idleCloseTimeout);
    }

    /** Returns a copy with other times for the detection of unresponsive connections. */
    public TransportSettings withReadTimeout(
            Duration newReadTimeout, Duration newIdlePingInterval) {
        return new TransportSettings(
                maxFrameBytes,
                maxQueuedMessages,
                maxQueuedBytes,
                maxConcurrentHandlers,
                connectTimeout,
                newReadTimeout,
                newIdlePingInterval,
                idleCloseTimeout);
    }
}
