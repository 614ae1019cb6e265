package org.carobdoor.node.execution;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.retries.AttemptFailure;
import org.carobdoor.node.endpoint.ServiceAnswer;
import org.carobdoor.node.service.CallOutcome;
import org.carobdoor.node.service.SendPermit;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.work.TokenRequest;
import org.carobdoor.node.work.TokenSink;
import org.carobdoor.node.work.TokenStream;

/**
 * One attempt at a submitted call to a plain service. The answer is a single chunk: a JSON object
 * with status, content type and body.
 */
final class ServiceAttempt implements TokenStream, Runnable {
    private final ServiceCalls services;
    private final SendPermit permit;
    private final CatalogueEntry entry;
    private final SubmittedServiceCall call;
    private final TokenRequest request;
    private final TokenSink sink;

    ServiceAttempt(
            ServiceCalls services,
            SendPermit permit,
            CatalogueEntry entry,
            SubmittedServiceCall call,
            TokenRequest request,
            TokenSink sink) {
        this.services = services;
        this.permit = permit;
        this.entry = entry;
        this.call = call;
        this.request = request;
        this.sink = sink;
    }

    @Override
    public void run() {
        boolean repeatable = request.spec().repeatable();
        switch (services.call(
                entry, call.request(), repeatable, permit, request.spec().deadline())) {
            case CallOutcome.Answered(var answer) -> {
                sink.tokens(1, toJson(answer));
                sink.end();
            }
            case CallOutcome.NotRun(var failure) ->
                    sink.failed(new AttemptFailure.NotSent(failure.toString()));
            case CallOutcome.Unknown(var failure) ->
                    sink.failed(new AttemptFailure.MaybeSent(failure.toString()));
        }
    }

    private static String toJson(ServiceAnswer answer) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("status", answer.status());
        json.put("content_type", answer.contentType());
        return json.put("body", answer.body().toUtf8()).toString();
    }

    /** Does nothing: a call cannot be cancelled after it has been sent. */
    @Override
    public void close() {}
}
