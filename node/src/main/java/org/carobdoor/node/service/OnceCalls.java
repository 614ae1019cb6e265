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
 * Calls plain services whose calls may not be repeated: each key is claimed before the first byte
 * is sent, and a call that has been sent is never sent again.
 *
 * <pre>{@code
 * OnceOutcome outcome = once.call(account, entry, key, request, deadline);
 * }</pre>
 */
public final class OnceCalls {
    private final ClaimService claims;
    private final ServiceCalls services;

    /** Creates an executor of calls that are claimed through {@code claims}. */
    public OnceCalls(ClaimService claims, ServiceCalls services) {
        this.claims = claims;
        this.services = services;
    }

    /** Claims {@code key} and makes the call, or reports what is recorded for the key. */
    public OnceOutcome call(
            ClientAccount account,
            CatalogueEntry entry,
            String key,
            ServiceRequest request,
            Instant deadline)
            throws InterruptedException {
        return switch (claims.claim(account, entry, key, deadline)) {
            case ClaimVerdict.Granted(var token) -> send(token, entry, request, deadline);
            case ClaimVerdict.Done(var status, var holder) ->
                    new OnceOutcome.Repeated(
                            status, claims.answer(account, entry.name(), key, holder, deadline));
            case ClaimVerdict.Held held -> new OnceOutcome.Held();
            case ClaimVerdict.TooOld old -> new OnceOutcome.TooOld();
            case ClaimVerdict.BadKey(var detail) -> new OnceOutcome.BadKey(detail);
            case ClaimVerdict.Refused(var failure) -> new OnceOutcome.NotClaimed(failure);
        };
    }

    private OnceOutcome send(
            Id128 token, CatalogueEntry entry, ServiceRequest request, Instant deadline) {
        // A fault of the program must leave the key claimed: the call may have been sent.
        boolean ended = false;
        try {
            ClaimPermit permit = new ClaimPermit(claims, token);
            CallOutcome outcome = services.call(entry, request, false, permit, deadline);
            ended = true;
            end(token, outcome);
            return new OnceOutcome.Called(outcome);
        } finally {
            if (!ended) {
                claims.abandon(token);
            }
        }
    }

    private void end(Id128 token, CallOutcome outcome) {
        switch (outcome) {
            case CallOutcome.Answered(var answer) -> claims.markDone(token, stored(answer));
            case CallOutcome.NotRun notRun -> claims.release(token);
            case CallOutcome.Unknown unknown -> claims.abandon(token);
        }
    }

    private static StoredAnswer stored(ServiceAnswer answer) {
        return new StoredAnswer(answer.status(), answer.contentType(), answer.body());
    }
}
