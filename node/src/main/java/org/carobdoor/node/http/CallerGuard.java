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

/** Makes the checks that every caller's request passes before anything is done for it. */
public final class CallerGuard {
    private static final String TIMEOUT_HEADER = "X-Request-Timeout-Ms";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Authenticator authenticator;
    private final CatalogueView catalogue;
    private final InstantSource clock;
    private final Duration timeout;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates a guard.
     *
     * @param timeout of requests that name none, and the longest that one can name
     */
    public CallerGuard(
            Authenticator authenticator,
            CatalogueView catalogue,
            InstantSource clock,
            Duration timeout) {
        this.authenticator = authenticator;
        this.catalogue = catalogue;
        this.clock = clock;
        this.timeout = timeout;
    }

    /** Refuses all new work from now on. */
    public void startDraining() {
        draining.set(true);
    }

    /** Returns whether new work is refused because the node is stopping. */
    public boolean isDraining() {
        return draining.get();
    }

    /** Authenticates the caller. */
    ClientAccount authenticate(Context ctx) {
        return authenticator.caller(ctx);
    }

    /** Returns the number of requests that are being served. */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Counts a request as in flight until the result is closed.
     *
     * @throws ProblemException if the node is stopping
     */
    InFlight begin() {
        // Counted before the check, so that a drain cannot miss a request that passes it.
        inFlight.incrementAndGet();
        if (draining.get()) {
            inFlight.decrementAndGet();
            throw new ProblemException(
                    Problem.notRun(
                            SERVICE_UNAVAILABLE,
                            "node-stopping",
                            "this node is stopping; send the request again, to another node"));
        }
        return inFlight::decrementAndGet;
    }

    /** A request that is being served. */
    @FunctionalInterface
    interface InFlight extends AutoCloseable {
        @Override
        void close();
    }

    /** Returns the entry of kind model that the caller may use under the name {@code model}. */
    CatalogueEntry modelEntry(String model, ClientAccount account) {
        return catalogue
                .find(model)
                .filter(e -> e.kind() == EntryKind.MODEL && e.owner().equals(account))
                .orElseThrow(() -> notFound("unknown-model", "no model entry \"" + model + "\""));
    }

    /** Returns the entry of kind service that the caller may use for {@code path}. */
    CatalogueEntry serviceEntry(String path, ClientAccount account) {
        return catalogue
                .findService(path)
                .filter(e -> e.owner().equals(account))
                .orElseThrow(() -> notFound("unknown-service", "no service entry for " + path));
    }

    /** Returns when the request is given up, from its timeout header or the default. */
    Instant deadline(Context ctx) {
        String header = ctx.header(TIMEOUT_HEADER).valueOrNull();
        if (header == null) {
            return clock.instant().plus(timeout);
        }
        try {
            long millis = Long.parseLong(header.strip());
            if (millis >= 1 && millis <= timeout.toMillis()) {
                return clock.instant().plusMillis(millis);
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        throw new ProblemException(
                Problem.notRun(
                        BAD_REQUEST,
                        "bad-timeout",
                        TIMEOUT_HEADER + " must be from 1 to " + timeout.toMillis()));
    }

    private static ProblemException notFound(String slug, String detail) {
        // Whether the entry exists for another account is not told.
        return new ProblemException(
                Problem.notRun(NOT_FOUND, slug, detail + " is open to this client account"));
    }
}
