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

/** Starts attempts of accepted requests at endpoints, each on its own virtual thread. */
public final class WorkExecutor implements TokenSource {
    private static final TokenStream NO_OP_STREAM = () -> {};

    private final CatalogueView catalogue;
    private final EndpointChooser chooser;
    private final EngineClient engines;
    private final ServiceCalls services;
    private final SubmittedCallClaims claims;
    private final PayloadCodec codec;
    private final UsageTracker usage;
    private final FailedEndpoints failedEndpoints = new FailedEndpoints();

    /** Creates an executor. */
    public WorkExecutor(
            CatalogueView catalogue,
            EndpointChooser chooser,
            EngineClient engines,
            ServiceCalls services,
            SubmittedCallClaims claims,
            PayloadCodec codec,
            UsageTracker usage) {
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
            // The catalogue of a node that has just started may be incomplete; a retry may find it.
            sink.failed(new AttemptFailure.NotSent("entry not found: " + request.spec().entry()));
            return NO_OP_STREAM;
        }
        return switch (codec.decode(request.spec().payload())) {
            case Result.Err<WorkPayload>(var failure) -> {
                sink.failed(new AttemptFailure.Rejected(failure.toString()));
                yield NO_OP_STREAM;
            }
            case Result.Ok<WorkPayload>(WorkPayload.Model(var modelRequest)) ->
                    start(engineAttempt(entry.get(), modelRequest, request, sink));
            case Result.Ok<WorkPayload>(WorkPayload.Service(var call)) ->
                    start(serviceAttempt(entry.get(), call, request, sink));
        };
    }

    private EngineAttempt engineAttempt(
            CatalogueEntry entry, ModelRequest model, TokenRequest request, TokenSink sink) {
        if (request.resumeTokens() > 0) {
            usage.add(request.requestId(), 0, request.resumeTokens());
        }
        return new EngineAttempt(
                chooser, engines, failedEndpoints, usage, entry, model, request, sink);
    }

    private ServiceAttempt serviceAttempt(
            CatalogueEntry entry, SubmittedServiceCall call, TokenRequest request, TokenSink sink) {
        return new ServiceAttempt(services, claims.permit(request), entry, call, request, sink);
    }

    private static <T extends TokenStream & Runnable> TokenStream start(T attempt) {
        Thread.ofVirtual().name("attempt").start(attempt);
        return attempt;
    }
}
