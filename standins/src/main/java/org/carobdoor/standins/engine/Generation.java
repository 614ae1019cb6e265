package org.carobdoor.standins.engine;

import io.jooby.Context;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.carobdoor.standins.http.ClientConnection;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/** Generates the response to a request. */
final class Generation {
    private static final long PAUSE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final EngineState state;
    private final BatchSlots slots;
    private final PrefixCache cache;
    private final long prefillMicros;
    private final Context context;
    private final RequestRecord record;
    private final GenerationRequest request;
    private final ClientConnection connection;

    Generation(
            EngineState state,
            BatchSlots slots,
            PrefixCache cache,
            long prefillMicros,
            Context context,
            RequestRecord record) {
        this.state = state;
        this.slots = slots;
        this.cache = cache;
        this.prefillMicros = prefillMicros;
        this.context = context;
        this.record = record;
        this.request = record.request();
        this.connection = ClientConnection.of(context);
    }

    /** Processes the request until it is complete or the client disconnects. */
    Reply run() throws InterruptedException {
        if (state.isSilent(record)) {
            return waitForDisconnect();
        }
        if (state.faults().refuse()) {
            return reject(503, "the engine rejects all requests");
        }
        if (!state.serves(request.model())) {
            return reject(404, "model " + request.model() + " is not loaded");
        }
        if (!request.hasValidResumeText()) {
            return reject(
                    400, "resume_text is not the start of the text generated for this prompt");
        }
        int tokens = Math.max(0, request.maxTokens() - request.resumeTokens());
        state.addOutstanding(tokens);
        try {
            record.setState("waiting");
            if (!slots.acquire(request.priority(), connection::isOpen)) {
                return cancel();
            }
            try {
                return generate(tokens);
            } finally {
                slots.release();
            }
        } finally {
            state.addOutstanding(-tokens);
        }
    }

    private Reply generate(int tokens) throws InterruptedException {
        record.setState("running");
        prefill();
        var writer = new CompletionWriter(context, record);
        long dueNanos = System.nanoTime();
        for (int i = 0; i < tokens; i++) {
            dueNanos += (long) (state.faults().tokenMillis() * 1e6);
            sleepUntil(dueNanos);
            dueNanos = waitWhilePaused(dueNanos);
            if (state.isSilent(record)) {
                return waitForDisconnect();
            }
            // An interrupt means that the engine is closed. Without this check, the remaining
            // sleeps
            // would return at once and the response would be completed.
            if (state.isDropped(record) || !connection.isOpen() || !isEngineOpen()) {
                return cancel();
            }
            writer.addToken(AnswerText.token(request.prompt(), request.resumeTokens() + i));
            record.setGenerated(i + 1);
        }
        cache.store(PrefixBlocks.of(request.contextBefore(request.resumeTokens() + tokens)));
        // The request log must show the end of the request before the client can see it.
        record.setState("done");
        return writer.finish();
    }

    private void prefill() {
        String processedText = request.contextBefore(request.resumeTokens());
        List<String> blocks = PrefixBlocks.of(processedText);
        int length = AnswerText.countTokens(processedText);
        int cached = cache.lookUpPrefix(blocks) * PrefixBlocks.WORDS_PER_BLOCK;
        record.setPrompt(length, cached);
        long micros = (length - cached) * prefillMicros;
        sleepUntil(
                System.nanoTime()
                        + TimeUnit.MICROSECONDS.toNanos(micros)
                        + TimeUnit.MILLISECONDS.toNanos(state.faults().slowMillis()));
        cache.store(blocks);
    }

    private long waitWhilePaused(long dueNanos) {
        if (!state.faults().paused()) {
            return dueNanos;
        }
        while (state.faults().paused() && connection.isOpen() && isEngineOpen()) {
            LockSupport.parkNanos(PAUSE_POLL_NANOS);
        }
        return System.nanoTime();
    }

    private void sleepUntil(long deadlineNanos) {
        long remainingNanos;
        while ((remainingNanos = deadlineNanos - System.nanoTime()) > 0 && isEngineOpen()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private static boolean isEngineOpen() {
        return !Thread.currentThread().isInterrupted();
    }

    private Reply waitForDisconnect() {
        record.setState("silent");
        StandInServer.waitForDisconnect(context);
        return Reply.dropped();
    }

    private Reply cancel() {
        record.setState("cancelled");
        return Reply.dropped();
    }

    private Reply reject(int status, String error) {
        record.setState("refused");
        return Reply.error(status, error);
    }
}
