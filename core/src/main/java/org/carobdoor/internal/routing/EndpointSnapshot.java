package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * An immutable copy of the state of one endpoint in an {@link EndpointView}.
 *
 * @param record the latest record, with the most advanced state and the earliest reclaim notice
 *     received
 * @param ownTokens outstanding tokens of this node at the endpoint
 * @param ownRequests in-flight requests of this node at the endpoint
 * @param remoteTokens outstanding tokens of other nodes at the endpoint, as of {@code
 *     remoteAtMillis}
 * @param remoteAtMillis time of {@code remoteTokens}, in milliseconds since the epoch
 * @param halfLifeMillis half-life of the decay of {@code remoteTokens}
 * @param reachable whether the endpoint answers health probes
 * @param pausedUntilMillis time until which the endpoint is excluded from routing after a refusal,
 *     in milliseconds since the epoch
 */
public record EndpointSnapshot(
        EndpointRecord record,
        long ownTokens,
        int ownRequests,
        double remoteTokens,
        long remoteAtMillis,
        long halfLifeMillis,
        boolean reachable,
        long pausedUntilMillis) {

    /** Returns the identifier of the endpoint. */
    public EndpointId id() {
        return record.id();
    }

    /** Returns when the reclaim was announced, or empty if it has not been. */
    public Optional<Instant> noticedAt() {
        return record.noticedAt();
    }

    /** Returns whether new requests may be routed to the endpoint at {@code nowMillis}. */
    public boolean isRoutable(long nowMillis) {
        return record.state() == EndpointState.LIVE && reachable && nowMillis >= pausedUntilMillis;
    }

    /**
     * Returns the outstanding tokens at {@code nowMillis}: the exact count of this node plus the
     * decayed count of other nodes.
     */
    public double load(long nowMillis) {
        return ownTokens
                + ExponentialDecay.apply(
                        remoteTokens, Math.max(0, nowMillis - remoteAtMillis), halfLifeMillis);
    }
}
