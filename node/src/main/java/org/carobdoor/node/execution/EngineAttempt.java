package org.carobdoor.node.execution;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.EndpointId;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.retries.AttemptFailure;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EndpointUse;
import org.carobdoor.node.endpoint.EngineCall;
import org.carobdoor.node.endpoint.EngineClient;
import org.carobdoor.node.endpoint.EngineEvent;
import org.carobdoor.node.endpoint.EngineRequest;
import org.carobdoor.node.model.ModelRequest;
import org.carobdoor.node.work.TokenRequest;
import org.carobdoor.node.work.TokenSink;
import org.carobdoor.node.work.TokenStream;
import org.jspecify.annotations.Nullable;

/** One attempt to generate the answer of a language model at one endpoint. */
final class EngineAttempt implements TokenStream, Runnable {
    private final EndpointChooser chooser;
    private final EngineClient engines;
    private final FailedEndpoints failedEndpoints;
    private final UsageTracker usage;
    private final CatalogueEntry entry;
    private final ModelRequest model;
    private final TokenRequest request;
    private final TokenSink sink;
    private volatile @Nullable EngineCall call;
    private volatile boolean closed;

    EngineAttempt(
            EndpointChooser chooser,
            EngineClient engines,
            FailedEndpoints failedEndpoints,
            UsageTracker usage,
            CatalogueEntry entry,
            ModelRequest model,
            TokenRequest request,
            TokenSink sink) {
        this.chooser = chooser;
        this.engines = engines;
        this.failedEndpoints = failedEndpoints;
        this.usage = usage;
        this.entry = entry;
        this.model = model;
        this.request = request;
        this.sink = sink;
    }

    @Override
    public void run() {
        long expectedTokens = Math.max(1, model.maxTokens() - request.resumeTokens());
        Optional<EndpointUse> chosen =
                chooser.choose(
                        entry,
                        model.prompt() + request.resumeText(),
                        expectedTokens,
                        failedEndpoints.excludedFor(request.requestId()));
        if (chosen.isEmpty()) {
            sink.failed(new AttemptFailure.NotSent("no live endpoint for entry " + entry.name()));
            return;
        }
        try (EndpointUse use = chosen.get()) {
            run(use);
            usage.add(request.requestId(), use.cost(), 0);
        }
    }

    private void run(EndpointUse use) {
        if (!use.startSend()) {
            sink.failed(new AttemptFailure.NotSent("the endpoint is shutting down"));
            return;
        }
        EngineRequest engineRequest =
                new EngineRequest(
                        model.chat(),
                        model.body(),
                        request.resumeText(),
                        request.resumeTokens(),
                        entry.priority());
        Instant deadline = request.spec().deadline();
        switch (engines.open(use.endpoint(), use.model(), engineRequest, deadline)) {
            case Result.Err<EngineCall>(var failure) -> reportFailure(use, failure);
            case Result.Ok<EngineCall>(var openedCall) -> {
                call = openedCall;
                try (openedCall) {
                    if (!closed) {
                        forwardEvents(use, openedCall);
                    }
                }
            }
        }
    }

    private void forwardEvents(EndpointUse use, EngineCall openedCall) {
        while (true) {
            switch (openedCall.next()) {
                case EngineEvent.Tokens tokens -> {
                    use.onTokens(tokens.count());
                    sink.tokens(tokens.count(), tokens.text());
                }
                case EngineEvent.Finished f -> {
                    sink.end();
                    return;
                }
                case EngineEvent.Broken(var failure) -> {
                    if (!closed) {
                        reportFailure(use, failure);
                    }
                    return;
                }
            }
        }
    }

    private void reportFailure(EndpointUse use, Failure failure) {
        EndpointId id = use.endpoint().id();
        failedEndpoints.record(request.requestId(), id);
        if (failure.step().equals(EngineClient.STEP_REFUSED)) {
            use.refused();
        } else if (failure.kind() != FailureKind.REJECTED) {
            use.failed();
        }
        sink.failed(
                switch (failure.kind()) {
                    case NOT_DONE -> new AttemptFailure.NotSent(failure.toString());
                    case REJECTED -> new AttemptFailure.Rejected(failure.toString());
                    case UNKNOWN, CONFLICT -> new AttemptFailure.MaybeSent(failure.toString());
                });
    }

    @Override
    public void close() {
        closed = true;
        EngineCall open = call;
        if (open != null) {
            open.cancel();
        }
    }
}
