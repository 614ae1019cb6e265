package org.carobdoor.node.service;

import java.time.Instant;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.StoredAnswer;
import org.carobdoor.node.endpoint.ServiceAnswer;
import org.carobdoor.node.endpoint.ServiceRequest;

/**
 * Executes non-repeatable calls of plain services at most once: the idempotency key is claimed
 * before the first byte is sent, and a call that has been sent is never sent again.
 *
 * <pre>{@code
 * AtMostOnceOutcome outcome = calls.call(account, entry, key, request, deadline);
 * }</pre>
 */
public final class AtMostOnceCalls {
    private final ClaimService claims;
    private final ServiceCalls services;

    /** Creates an executor that claims keys through {@code claims}. */
    public AtMostOnceCalls(ClaimService claims, ServiceCalls services) {
        this.claims = claims;
        this.services = services;
    }

    /** Claims {@code key} and makes the call, or returns the outcome recorded for the key. */
    public AtMostOnceOutcome call(
            ClientAccount account,
            CatalogueEntry entry,
            String key,
            ServiceRequest request,
            Instant deadline)
            throws InterruptedException {
        return switch (claims.claim(account, entry, key, deadline)) {
            case ClaimVerdict.Granted(var token) -> send(token, entry, request, deadline);
            case ClaimVerdict.Done(var status, var holder) ->
                    new AtMostOnceOutcome.Replayed(
                            status, claims.answer(account, entry.name(), key, holder, deadline));
            case ClaimVerdict.Held held -> new AtMostOnceOutcome.KeyInUse();
            case ClaimVerdict.TooOld old -> new AtMostOnceOutcome.KeyTooOld();
            case ClaimVerdict.BadKey(var detail) -> new AtMostOnceOutcome.InvalidKey(detail);
            case ClaimVerdict.Refused(var failure) -> new AtMostOnceOutcome.ClaimFailed(failure);
        };
    }

    private AtMostOnceOutcome send(
            Id128 token, CatalogueEntry entry, ServiceRequest request, Instant deadline) {
        // The key stays claimed after an unexpected exception, since the call may have been sent.
        boolean completed = false;
        try {
            ClaimPermit permit = new ClaimPermit(claims, token);
            CallOutcome outcome = services.call(entry, request, false, permit, deadline);
            completed = true;
            recordOutcome(token, outcome);
            return new AtMostOnceOutcome.Called(outcome);
        } finally {
            if (!completed) {
                claims.abandon(token);
            }
        }
    }

    private void recordOutcome(Id128 token, CallOutcome outcome) {
        switch (outcome) {
            case CallOutcome.Answered(var answer) -> claims.markDone(token, toStoredAnswer(answer));
            case CallOutcome.NotRun notRun -> claims.release(token);
            case CallOutcome.Unknown unknown -> claims.abandon(token);
        }
    }

    private static StoredAnswer toStoredAnswer(ServiceAnswer answer) {
        return new StoredAnswer(answer.status(), answer.contentType(), answer.body());
    }
}
