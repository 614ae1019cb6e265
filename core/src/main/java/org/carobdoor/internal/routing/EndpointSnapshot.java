package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * An immutable copy of what the view knows of one endpoint.
 *
 * @param record the last description, with the most advanced state and the earliest notice seen
 * @param ownTokens tokens that this node has outstanding there
 * @param ownRequests requests that this node has in flight there
 * @param othersTokens tokens that others have outstanding there, as of {@code othersAtMillis}
 * @param othersAtMillis when {@code othersTokens} held, in milliseconds since the epoch
 * @param halfLifeMillis the half-life of {@code othersTokens}
 * @param reachable whether probes are answered
 * @param pausedUntilMillis until when it receives nothing after a refusal
 */
public record EndpointSnapshot(
        EndpointRecord record,
        long ownTokens,
        int ownRequests,
        double othersTokens,
        long othersAtMillis,
        long halfLifeMillis,
        boolean reachable,
        long pausedUntilMillis) {

    /** Returns the identifier. */
    public EndpointId id() {
        return record.id();
    }

    /** Returns when the reclaim was announced, if it was. */
    public Optional<Instant> noticedAt() {
        return record.noticedAt();
    }

    /** Returns whether a request may be routed there at {@code nowMillis}. */
    public boolean isRoutable(long nowMillis) {
        return record.state() == EndpointState.LIVE && reachable && nowMillis >= pausedUntilMillis;
    }

    /** Returns the tokens outstanding there at {@code nowMillis}: own exact, others' decayed. */
    public double load(long nowMillis) {
        return ownTokens
                + Decay.apply(
                        othersTokens, Math.max(0, nowMillis - othersAtMillis), halfLifeMillis);
    }
}
