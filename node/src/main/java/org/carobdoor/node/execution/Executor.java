package org.carobdoor.node.execution;

import java.util.Optional;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.retries.AttemptFailure;
import org.carobdoor.node.catalogue.CatalogueView;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EngineClient;
import org.carobdoor.node.model.ModelRequest;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.work.TokenRequest;
import org.carobdoor.node.work.TokenSink;
import org.carobdoor.node.work.TokenSource;
import org.carobdoor.node.work.TokenStream;

/** Opens attempts of accepted requests at endpoints, each on a virtual thread of its own. */
public final class Executor implements TokenSource {
    private static final TokenStream NOTHING_TO_CLOSE = () -> {};

    private final CatalogueView catalogue;
    private final EndpointChooser chooser;
    private final EngineClient engines;
    private final ServiceCalls services;
    private final SubmittedClaims claims;
    private final PayloadCodec codec;
    private final UsageBook usage;
    private final FailedEndpoints failed = new FailedEndpoints();

    /** Creates an executor. */
    public Executor(
            CatalogueView catalogue,
            EndpointChooser chooser,
            EngineClient engines,
            ServiceCalls services,
            SubmittedClaims claims,
            PayloadCodec codec,
            UsageBook usage) {
        this.catalogue = catalogue;
        this.chooser = chooser;
        this.engines = engines;
        this.services = services;
        this.claims = claims;
        this.codec = codec;
        this.usage = usage;
    }

    @Override
    public TokenStream open(TokenRequest request, TokenSink sink) {
        Optional<CatalogueEntry> entry = catalogue.find(request.spec().entry());
        if (entry.isEmpty()) {
            // The entry can be behind at a node that has just started; another attempt may find it.
            sink.failed(new AttemptFailure.NotSent("no entry " + request.spec().entry()));
            return NOTHING_TO_CLOSE;
        }
        return switch (codec.decode(request.spec().payload())) {
            case Result.Err<WorkPayload>(var failure) -> {
                sink.failed(new AttemptFailure.Rejected(failure.toString()));
                yield NOTHING_TO_CLOSE;
            }
            case Result.Ok<WorkPayload>(WorkPayload.Model(var model)) ->
                    start(engineAttempt(entry.get(), model, request, sink));
            case Result.Ok<WorkPayload>(WorkPayload.Service(var work)) ->
                    start(serviceAttempt(entry.get(), work, request, sink));
        };
    }

    private EngineAttempt engineAttempt(
            CatalogueEntry entry, ModelRequest model, TokenRequest request, TokenSink sink) {
        if (request.resumeTokens() > 0) {
            usage.add(request.requestId(), 0, request.resumeTokens());
        }
        return new EngineAttempt(chooser, engines, failed, usage, entry, model, request, sink);
    }

    private ServiceAttempt serviceAttempt(
            CatalogueEntry entry, ServiceWork work, TokenRequest request, TokenSink sink) {
        return new ServiceAttempt(services, claims.permit(request), entry, work, request, sink);
    }

    private static <T extends TokenStream & Runnable> TokenStream start(T attempt) {
        Thread.ofVirtual().name("attempt").start(attempt);
        return attempt;
    }
}
