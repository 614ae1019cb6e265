package org.carobdoor.node.http;

import io.jooby.Context;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.node.catalogue.CatalogueView;

/**
 * Checks that precede the processing of a request: authentication, drain state, catalogue entry and
 * deadline.
 */
public final class RequestPreconditions {
    private static final String TIMEOUT_HEADER = "X-Request-Timeout-Ms";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Authenticator authenticator;
    private final CatalogueView catalogue;
    private final InstantSource clock;
    private final Duration maxTimeout;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates the checks.
     *
     * @param maxTimeout the maximum timeout of a request, which is also the default
     */
    public RequestPreconditions(
            Authenticator authenticator,
            CatalogueView catalogue,
            InstantSource clock,
            Duration maxTimeout) {
        this.authenticator = authenticator;
        this.catalogue = catalogue;
        this.clock = clock;
        this.maxTimeout = maxTimeout;
    }

    /** Rejects all new requests from now on. */
    public void startDraining() {
        draining.set(true);
    }

    /** Returns whether new requests are rejected because the node is stopping. */
    public boolean isDraining() {
        return draining.get();
    }

    /** Authenticates the caller and returns its client account. */
    ClientAccount authenticate(Context ctx) {
        return authenticator.authenticateCaller(ctx);
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Counts a request as in flight until the returned handle is closed.
     *
     * @throws ProblemException if the node is stopping
     */
    InFlightRequest beginRequest() {
        // Incremented before the check, so that a drain cannot miss a request that passes it.
        inFlight.incrementAndGet();
        if (draining.get()) {
            inFlight.decrementAndGet();
            throw new ProblemException(
                    Problem.notRun(
                            SERVICE_UNAVAILABLE,
                            "node-stopping",
                            "the node is stopping; retry the request at another node"));
        }
        return inFlight::decrementAndGet;
    }

    /** Handle of a request in flight. */
    @FunctionalInterface
    interface InFlightRequest extends AutoCloseable {
        @Override
        void close();
    }

    /** Returns the model entry named {@code model} if {@code account} owns it. */
    CatalogueEntry modelEntry(String model, ClientAccount account) {
        return catalogue
                .find(model)
                .filter(e -> e.kind() == EntryKind.MODEL && e.owner().equals(account))
                .orElseThrow(() -> notFound("unknown-model", "no model entry \"" + model + "\""));
    }

    /** Returns the service entry for {@code path} if {@code account} owns it. */
    CatalogueEntry serviceEntry(String path, ClientAccount account) {
        return catalogue
                .findService(path)
                .filter(e -> e.owner().equals(account))
                .orElseThrow(() -> notFound("unknown-service", "no service entry for " + path));
    }

    /** Returns the deadline of the request, from its timeout header or the default. */
    Instant deadline(Context ctx) {
        String header = ctx.header(TIMEOUT_HEADER).valueOrNull();
        if (header == null) {
            return clock.instant().plus(maxTimeout);
        }
        try {
            long millis = Long.parseLong(header.strip());
            if (millis >= 1 && millis <= maxTimeout.toMillis()) {
                return clock.instant().plusMillis(millis);
            }
        } catch (NumberFormatException e) {
            // Handled below in the same way as a value out of range.
        }
        throw new ProblemException(
                Problem.notRun(
                        BAD_REQUEST,
                        "bad-timeout",
                        TIMEOUT_HEADER + " must be an integer from 1 to " + maxTimeout.toMillis()));
    }

    private static ProblemException notFound(String slug, String detail) {
        // Does not reveal whether the entry exists for another account.
        return new ProblemException(
                Problem.notRun(NOT_FOUND, slug, detail + " is available to this client account"));
    }
}
