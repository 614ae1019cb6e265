package org.carobdoor.node.model;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.EndpointId;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EndpointUse;
import org.carobdoor.node.endpoint.EngineCall;
import org.carobdoor.node.endpoint.EngineClient;
import org.carobdoor.node.endpoint.EngineEvent;
import org.carobdoor.node.endpoint.EngineRequest;
import org.jspecify.annotations.Nullable;

/**
 * The tokens of one answer, continued at another endpoint when the one that generates it is lost.
 *
 * <p>Used by one thread; {@link #close} may be called by any.
 */
public final class ResumingStream implements AutoCloseable {
    /** Attempts in a row that bring no token, after which the answer is given up. */
    private static final int MAX_ATTEMPTS_WITHOUT_PROGRESS = 3;

    private final EndpointChooser chooser;
    private final EngineClient engines;
    private final ResumeListener listener;
    private final CatalogueEntry entry;
    private final ModelRequest request;
    private final Instant deadline;
    private final StringBuilder text;
    private final Set<EndpointId> avoid = new HashSet<>();
    private int tokens;
    private int attemptsWithoutProgress;
    private boolean sent;
    private @Nullable EndpointUse use;
    private volatile @Nullable EngineCall call;
    private volatile boolean closed;

    ResumingStream(
            EndpointChooser chooser,
            EngineClient engines,
            ResumeListener listener,
            CatalogueEntry entry,
            ModelRequest request,
            String resumeText,
            int resumeTokens,
            Instant deadline) {
        this.chooser = chooser;
        this.engines = engines;
        this.listener = listener;
        this.entry = entry;
        this.request = request;
        this.text = new StringBuilder(resumeText);
        this.tokens = resumeTokens;
        this.deadline = deadline;
    }

    /** Waits for the next event; a broken event is final and says whether anything was sent. */
    public EngineEvent next() {
        Failure last = null;
        while (!closed) {
            EngineCall c = call;
            if (c == null) {
                if (attemptsWithoutProgress >= MAX_ATTEMPTS_WITHOUT_PROGRESS) {
                    return broken(
                            last, "no progress after " + attemptsWithoutProgress + " attempts");
                }
                switch (open()) {
                    case Result.Ok<EngineCall>(var opened) -> call = opened;
                    case Result.Err<EngineCall>(var failure) -> {
                        last = failure;
                        if (failure.kind() == FailureKind.REJECTED || use == null) {
                            return new EngineEvent.Broken(failure);
                        }
                        endUse(failure);
                    }
                }
                continue;
            }
            switch (c.next()) {
                case EngineEvent.Tokens t -> {
                    text.append(t.text());
                    tokens += t.count();
                    attemptsWithoutProgress = 0;
                    EndpointUse u = use;
                    if (u != null) {
                        u.onTokens(t.count());
                    }
                    return t;
                }
                case EngineEvent.Finished f -> {
                    return f;
                }
                case EngineEvent.Broken b -> {
                    last = b.failure();
                    c.close();
                    call = null;
                    endUse(last);
                }
            }
        }
        return broken(last, "the stream was cancelled");
    }

    private Result<EngineCall> open() {
        attemptsWithoutProgress++;
        Optional<EndpointUse> chosen =
                chooser.choose(entry, request.prompt(), request.maxTokens() - tokens, avoid);
        if (chosen.isEmpty()) {
            FailureKind kind = sent ? FailureKind.UNKNOWN : FailureKind.NOT_DONE;
            return Result.err(kind, "route", "local", "no live endpoint serves " + entry.name());
        }
        EndpointUse u = chosen.get();
        use = u;
        if (!u.startSend()) {
            return Result.err(
                    FailureKind.NOT_DONE,
                    EngineClient.STEP_REFUSED,
                    u.endpoint().address().toString(),
                    "the endpoint is leaving");
        }
        if (tokens > 0) {
            listener.onResume(entry.name(), tokens);
        }
        EngineRequest r =
                new EngineRequest(
                        request.chat(), request.body(), text.toString(), tokens, entry.priority());
        Result<EngineCall> opened = engines.open(u.endpoint(), u.model(), r, deadline);
        if (!(opened instanceof Result.Err<EngineCall>(var f)
                && f.kind() == FailureKind.NOT_DONE)) {
            sent = true;
        }
        return opened;
    }

    private void endUse(Failure failure) {
        EndpointUse u = use;
        if (u == null) {
            return;
        }
        if (failure.step().equals(EngineClient.STEP_REFUSED)) {
            u.refused();
        } else {
            u.failed();
        }
        avoid.add(u.endpoint().id());
        u.close();
        use = null;
    }

    private EngineEvent broken(@Nullable Failure last, String detail) {
        FailureKind kind = sent ? FailureKind.UNKNOWN : FailureKind.NOT_DONE;
        String peer = last == null ? "local" : last.peer();
        String cause = last == null ? "" : "; last: " + last;
        return new EngineEvent.Broken(new Failure(kind, "engine.stream", peer, detail + cause));
    }

    @Override
    public void close() {
        closed = true;
        EngineCall c = call;
        if (c != null) {
            c.close();
        }
        EndpointUse u = use;
        if (u != null) {
            u.close();
        }
    }
}
