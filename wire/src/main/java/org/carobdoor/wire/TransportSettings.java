package org.carobdoor.wire;

import java.time.Duration;

/**
 * Limits of the transport between nodes.
 *
 * @param maxFrameBytes the largest frame sent or accepted; a connection that announces a larger one
 *     is closed
 * @param maxQueuedMessages messages that wait for one peer
 * @param maxQueuedBytes bytes that wait for one peer
 * @param maxHandlers messages handled at once; further calls are answered as not handled
 * @param connectTimeout for connecting and for the handshake, each
 * @param silenceTimeout how long a connection may stay without a byte while a call or ping waits;
 *     after half of it a ping is sent, so that a slow handler does not count as silence
 * @param idlePingInterval after how long without a byte a connection is pinged
 * @param idleCloseTimeout after how long without a message a connection is closed
 */
public record TransportSettings(
        int maxFrameBytes,
        int maxQueuedMessages,
        int maxQueuedBytes,
        int maxHandlers,
        Duration connectTimeout,
        Duration silenceTimeout,
        Duration idlePingInterval,
        Duration idleCloseTimeout) {

    /** Returns the settings for production. */
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

    /** Returns these settings with another limit of the frame size. */
    public TransportSettings withMaxFrameBytes(int bytes) {
        return new TransportSettings(
                bytes,
                maxQueuedMessages,
                maxQueuedBytes,
                maxHandlers,
                connectTimeout,
                silenceTimeout,
                idlePingInterval,
                idleCloseTimeout);
    }

    /** Returns these settings with another bound of the queue of each peer. */
    public TransportSettings withMaxQueuedMessages(int messages) {
        return new TransportSettings(
                maxFrameBytes,
                messages,
                maxQueuedBytes,
                maxHandlers,
                connectTimeout,
                silenceTimeout,
                idlePingInterval,
                idleCloseTimeout);
    }

    /** Returns these settings with other times for the detection of silent connections. */
    public TransportSettings withSilence(Duration silence, Duration idlePing) {
        return new TransportSettings(
                maxFrameBytes,
                maxQueuedMessages,
                maxQueuedBytes,
                maxHandlers,
                connectTimeout,
                silence,
                idlePing,
                idleCloseTimeout);
    }
}
