package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * Writes server-sent events to one caller, one event at a time.
 *
 * <p>A write blocks until the event has been written to the socket. This applies back-pressure to
 * slow callers and bounds the buffer to one event per caller.
 */
final class EventStream implements AutoCloseable {
    private final @Nullable Sender sender;
    private final Duration writeTimeout;
    private boolean disconnected;

    /** Starts the response; response headers must be set before. */
    EventStream(Context ctx, Duration writeTimeout) {
        ctx.setResponseType("text/event-stream");
        ctx.setResponseHeader("Cache-Control", "no-cache");
        this.writeTimeout = writeTimeout;
        this.sender = senderOf(ctx);
        this.disconnected = sender == null;
    }

    private static @Nullable Sender senderOf(Context ctx) {
        try {
            return ctx.responseSender();
        } catch (IllegalStateException e) {
            // The caller closed the connection before the response started.
            return null;
        }
    }

    /** Writes one event; returns false if the caller has disconnected or the write timed out. */
    boolean send(String data) {
        Sender currentSender = sender;
        if (disconnected || currentSender == null) {
            return false;
        }
        CompletableFuture<Boolean> written = new CompletableFuture<>();
        byte[] event = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        currentSender.write(event, (ctx, error) -> written.complete(error == null));
        try {
            disconnected = !written.get(writeTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            disconnected = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            disconnected = true;
        }
        return !disconnected;
    }

    @Override
    public void close() {
        if (sender != null) {
            sender.close();
        }
    }
}
