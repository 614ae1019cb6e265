package org.carobdoor.standins.engine;

import io.jooby.Context;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.carobdoor.standins.http.ClientConnection;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/** Generates the answer to one request. */
final class Generation {
    private static final long PAUSE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final EngineState state;
    private final BatchSlots slots;
    private final PrefixCache cache;
    private final long prefillMicros;
    private final Context context;
    private final EngineCall call;
    private final GenerationRequest request;
    private final ClientConnection connection;

    Generation(
            EngineState state,
            BatchSlots slots,
            PrefixCache cache,
            long prefillMicros,
            Context context,
            EngineCall call) {
        this.state = state;
        this.slots = slots;
        this.cache = cache;
        this.prefillMicros = prefillMicros;
        this.context = context;
        this.call = call;
        this.request = call.request();
        this.connection = ClientConnection.of(context);
    }

    /** Runs the request to its end or until the client has gone. */
    Reply run() throws InterruptedException {
        if (state.isSilent(call)) {
            return staySilent();
        }
        if (state.faults().refuse()) {
            return refuse(503, "the engine refuses work");
        }
        if (!state.serves(request.model())) {
            return refuse(404, "model " + request.model() + " is not loaded");
        }
        if (!request.resumesOwnAnswer()) {
            return refuse(400, "resume_text is not the start of the answer to this prompt");
        }
        int tokens = Math.max(0, request.maxTokens() - request.resumeTokens());
        state.addOutstanding(tokens);
        try {
            call.setState("waiting");
            if (!slots.join(request.priority(), connection::isOpen)) {
                return cancel();
            }
            try {
                return generate(tokens);
            } finally {
                slots.leave();
            }
        } finally {
            state.addOutstanding(-tokens);
        }
    }

    private Reply generate(int tokens) throws InterruptedException {
        call.setState("running");
        prefill();
        var answer = new Answer(context, call);
        long due = System.nanoTime();
        for (int i = 0; i < tokens; i++) {
            due += (long) (state.faults().tokenMillis() * 1e6);
            sleepUntil(due);
            due = waitWhilePaused(due);
            if (state.isSilent(call)) {
                return staySilent();
            }
            // An interrupt means that the engine is closed: it must not hurry to the end.
            if (state.isDropped(call) || !connection.isOpen() || !isRunning()) {
                return cancel();
            }
            answer.add(AnswerText.token(request.prompt(), request.resumeTokens() + i));
            call.setGenerated(i + 1);
        }
        cache.store(PrefixBlocks.of(request.contextBefore(request.resumeTokens() + tokens)));
        // The ledger must show the end before the client can see it.
        call.setState("done");
        return answer.finish();
    }

    private void prefill() {
        String before = request.contextBefore(request.resumeTokens());
        List<String> blocks = PrefixBlocks.of(before);
        int length = AnswerText.countTokens(before);
        int cached = cache.use(blocks) * PrefixBlocks.WORDS;
        call.setPrompt(length, cached);
        long micros = (length - cached) * prefillMicros;
        sleepUntil(
                System.nanoTime()
                        + TimeUnit.MICROSECONDS.toNanos(micros)
                        + TimeUnit.MILLISECONDS.toNanos(state.faults().slowMillis()));
        cache.store(blocks);
    }

    private long waitWhilePaused(long due) {
        if (!state.faults().paused()) {
            return due;
        }
        while (state.faults().paused() && connection.isOpen() && isRunning()) {
            LockSupport.parkNanos(PAUSE_POLL_NANOS);
        }
        return System.nanoTime();
    }

    private void sleepUntil(long nanos) {
        long left;
        while ((left = nanos - System.nanoTime()) > 0 && isRunning()) {
            LockSupport.parkNanos(left);
        }
    }

    private static boolean isRunning() {
        return !Thread.currentThread().isInterrupted();
    }

    private Reply staySilent() {
        call.setState("silent");
        StandInServer.waitForDisconnect(context);
        return Reply.dropped();
    }

    private Reply cancel() {
        call.setState("cancelled");
        return Reply.dropped();
    }

    private Reply refuse(int status, String error) {
        call.setState("refused");
        return Reply.error(status, error);
    }
}
