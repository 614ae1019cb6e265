package org.carobdoor.node.service;

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
import org.carobdoor.node.endpoint.ServiceAnswer;
import org.carobdoor.node.endpoint.ServiceClient;
import org.carobdoor.node.endpoint.ServiceRequest;
import org.jspecify.annotations.Nullable;

/**
 * Calls plain services and retries at other endpoints.
 *
 * <p>A non-repeatable call is retried only if it is certain that no byte of it was sent.
 *
 * <pre>{@code
 * switch (services.call(entry, request, true, SendPermit.ALWAYS, deadline)) {
 *     case CallOutcome.Answered(var answer) -> ...
 *     case CallOutcome.NotRun(var failure) -> ...
 *     case CallOutcome.Unknown(var failure) -> ...
 * }
 * }</pre>
 */
public final class ServiceCalls {
    private static final int MAX_ATTEMPTS = 3;

    private final EndpointChooser chooser;
    private final ServiceClient client;

    /** Creates an executor of calls. */
    public ServiceCalls(EndpointChooser chooser, ServiceClient client) {
        this.chooser = chooser;
        this.client = client;
    }

    /**
     * Calls the service of {@code entry}.
     *
     * @param repeatable whether the call may be sent again after a send with an unknown outcome
     * @param permit checked immediately before each send
     */
    public CallOutcome call(
            CatalogueEntry entry,
            ServiceRequest request,
            boolean repeatable,
            SendPermit permit,
            Instant deadline) {
        Set<EndpointId> excluded = new HashSet<>();
        Failure lastFailure = null;
        boolean sent = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Optional<EndpointUse> chosen = chooser.choose(entry, "", 1, excluded);
            if (chosen.isEmpty()) {
                break;
            }
            try (EndpointUse use = chosen.get()) {
                excluded.add(use.endpoint().id());
                if (!use.startSend()) {
                    continue;
                }
                if (!permit.beginSend()) {
                    lastFailure = permitDenied();
                    break;
                }
                switch (client.call(use.endpoint(), request, deadline)) {
                    case Result.Ok<ServiceAnswer>(var answer) -> {
                        return new CallOutcome.Answered(answer);
                    }
                    case Result.Err<ServiceAnswer>(var failure) -> {
                        use.failed();
                        lastFailure = failure;
                        if (failure.kind() == FailureKind.NOT_DONE) {
                            permit.notSent();
                        } else {
                            sent = true;
                        }
                    }
                }
            }
            if (sent && !repeatable) {
                break;
            }
        }
        return failed(entry, lastFailure, sent);
    }

    private static Failure permitDenied() {
        return new Failure(
                FailureKind.NOT_DONE, "service.permit", "local", "the deadline has passed");
    }

    private static CallOutcome failed(
            CatalogueEntry entry, @Nullable Failure lastFailure, boolean sent) {
        Failure failure =
                lastFailure != null
                        ? lastFailure
                        : new Failure(
                                FailureKind.NOT_DONE,
                                "route",
                                "local",
                                "no live endpoint for entry " + entry.name());
        return sent ? new CallOutcome.Unknown(failure) : new CallOutcome.NotRun(failure);
    }
}
