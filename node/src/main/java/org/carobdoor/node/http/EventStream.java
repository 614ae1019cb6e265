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
 * Writes server-sent events to one caller, one at a time.
 *
 * <p>A write returns only when the network has taken the event, so a slow caller holds back its own
 * stream and no more than one event a caller is buffered.
 */
final class EventStream implements AutoCloseable {
    private final @Nullable Sender sender;
    private final Duration writeTimeout;
    private boolean gone;

    /** Starts the response; headers must be set before. */
    EventStream(Context ctx, Duration writeTimeout) {
        ctx.setResponseType("text/event-stream");
        ctx.setResponseHeader("Cache-Control", "no-cache");
        this.writeTimeout = writeTimeout;
        this.sender = senderOf(ctx);
        this.gone = sender == null;
    }

    private static @Nullable Sender senderOf(Context ctx) {
        try {
            return ctx.responseSender();
        } catch (IllegalStateException e) {
            // The caller has closed its connection before the response started.
            return null;
        }
    }

    /** Writes one event; returns false if the caller is gone or does not read. */
    boolean send(String data) {
        Sender to = sender;
        if (gone || to == null) {
            return false;
        }
        CompletableFuture<Boolean> written = new CompletableFuture<>();
        byte[] event = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        to.write(event, (ctx, error) -> written.complete(error == null));
        try {
            gone = !written.get(writeTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            gone = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            gone = true;
        }
        return !gone;
    }

    @Override
    public void close() {
        if (sender != null) {
            sender.close();
        }
    }
}
