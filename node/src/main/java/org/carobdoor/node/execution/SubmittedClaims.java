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

/** Claims submitted calls that may not be repeated. */
public final class SubmittedClaims implements ClaimAcquirer {
    private static final int ACCEPTED = 202;

    private final ClaimService claims;
    private final CatalogueView catalogue;
    private final PayloadCodec codec;
    private final ConcurrentMap<String, Id128> tokens = new ConcurrentHashMap<>();

    /** Creates a gate to {@code claims}. */
    public SubmittedClaims(ClaimService claims, CatalogueView catalogue, PayloadCodec codec) {
        this.claims = claims;
        this.catalogue = catalogue;
        this.codec = codec;
    }

    @Override
    public Outcome claim(String requestId, WorkSpec spec, Instant deadline) {
        Optional<CatalogueEntry> entry = catalogue.find(spec.entry());
        if (entry.isEmpty()
                || !(codec.decode(spec.payload())
                        instanceof Result.Ok<WorkPayload>(WorkPayload.Service(var work)))) {
            return Outcome.UNAVAILABLE;
        }
        try {
            return switch (claims.claim(work.account(), entry.get(), work.key(), deadline)) {
                case ClaimVerdict.Granted(var token) -> {
                    tokens.put(requestId, token);
                    yield Outcome.GRANTED;
                }
                case ClaimVerdict.Refused refused -> Outcome.UNAVAILABLE;
                case ClaimVerdict.Held held -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.Done done -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.TooOld old -> Outcome.HELD_ELSEWHERE;
                case ClaimVerdict.BadKey bad -> Outcome.HELD_ELSEWHERE;
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Outcome.UNAVAILABLE;
        }
    }

    /** Returns the permit of a request: that of its claim, or one that always permits. */
    SendPermit permit(TokenRequest request) {
        Id128 token = tokens.get(request.requestId());
        return token == null ? SendPermit.ALWAYS : new ClaimPermit(claims, token);
    }

    @Override
    public void finished(String requestId, WorkSpec spec, RunState runState) {
        Id128 token = tokens.remove(requestId);
        if (token == null) {
            return;
        }
        switch (runState) {
            case NOT_RUN -> claims.release(token);
            case UNKNOWN -> claims.abandon(token);
            default -> claims.markDone(token, pointerTo(requestId));
        }
    }

    /** A repeat of a submitted call gets the place of its answer, as the first one did. */
    private static StoredAnswer pointerTo(String requestId) {
        String json =
                "{\"id\":\"" + requestId + "\",\"location\":\"/v1/requests/" + requestId + "\"}";
        return new StoredAnswer(ACCEPTED, "application/json", Bytes.utf8(json));
    }
}
