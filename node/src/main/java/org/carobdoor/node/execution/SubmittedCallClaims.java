package org.carobdoor.node.execution;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.carobdoor.Bytes;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.node.catalogue.CatalogueView;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.StoredAnswer;
import org.carobdoor.node.service.ClaimPermit;
import org.carobdoor.node.service.SendPermit;
import org.carobdoor.node.work.ClaimAcquirer;
import org.carobdoor.node.work.TokenRequest;
import org.carobdoor.node.work.WorkSpec;

/** Claims the idempotency keys of submitted non-repeatable calls. */
public final class SubmittedCallClaims implements ClaimAcquirer {
    private static final int ACCEPTED = 202;

    private final ClaimService claims;
    private final CatalogueView catalogue;
    private final PayloadCodec codec;
    private final ConcurrentMap<String, Id128> claimTokens = new ConcurrentHashMap<>();

    /** Creates a gate that claims keys through {@code claims}. */
    public SubmittedCallClaims(ClaimService claims, CatalogueView catalogue, PayloadCodec codec) {
        this.claims = claims;
        this.catalogue = catalogue;
        this.codec = codec;
    }

    @Override
    public Outcome claim(String requestId, WorkSpec spec, Instant deadline) {
        Optional<CatalogueEntry> entry = catalogue.find(spec.entry());
        if (entry.isEmpty()
                || !(codec.decode(spec.payload())
                        instanceof Result.Ok<WorkPayload>(WorkPayload.Service(var call)))) {
            return Outcome.UNAVAILABLE;
        }
        try {
            return switch (claims.claim(call.account(), entry.get(), call.key(), deadline)) {
                case ClaimVerdict.Granted(var token) -> {
                    claimTokens.put(requestId, token);
                    yield Outcome.GRANTED;
                }
                case ClaimVerdict.Refused refused -> Outcome.UNAVAILABLE;
                case ClaimVerdict.Held held -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.Done done -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.TooOld tooOld -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.BadKey badKey -> Outcome.HELD_ELSEWHERE;
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Outcome.UNAVAILABLE;
        }
    }

    /**
     * Returns the permit of the claim of a request, or a permit for every send if it has no claim.
     */
    SendPermit permit(TokenRequest request) {
        Id128 token = claimTokens.get(request.requestId());
        return token == null ? SendPermit.ALWAYS : new ClaimPermit(claims, token);
    }

    @Override
    public void finished(String requestId, WorkSpec spec, RunState runState) {
        Id128 token = claimTokens.remove(requestId);
        if (token == null) {
            return;
        }
        switch (runState) {
            case NOT_RUN -> claims.release(token);
            case UNKNOWN -> claims.abandon(token);
            default -> claims.markDone(token, acceptedResponse(requestId));
        }
    }

    /**
     * Returns the response to repeats of a submitted call: the location of its answer, as in the
     * first response.
     */
    private static StoredAnswer acceptedResponse(String requestId) {
        String json =
                "{\"id\":\"" + requestId + "\",\"location\":\"/v1/requests/" + requestId + "\"}";
        return new StoredAnswer(ACCEPTED, "application/json", Bytes.utf8(json));
    }
}
