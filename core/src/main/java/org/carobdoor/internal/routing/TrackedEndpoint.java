package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * The mutable state of one endpoint in an {@link EndpointView}. Guarded by the lock of its shard.
 */
final class TrackedEndpoint {
    private EndpointRecord record;
    final RemoteLoad remoteLoad;
    long ownTokens;
    int ownRequests;
    long reportedTokens;
    int failedProbes;
    boolean reachable = true;
    long pausedUntilMillis;
    @Nullable Instant lastSendAt;
    @Nullable Instant goneSince;

    /**
     * Shard generation of the last change. {@link #newer} and {@link #older} link the endpoints of
     * a shard in the order of their last change.
     */
    long generation;

    @Nullable TrackedEndpoint newer;
    @Nullable TrackedEndpoint older;

    TrackedEndpoint(EndpointRecord record, long halfLifeMillis) {
        this.record = mergeMonotonic(record, record);
        this.remoteLoad = new RemoteLoad(halfLifeMillis);
    }

    EndpointRecord record() {
        return record;
    }

    /**
     * Merges {@code update}, keeping the most advanced state and the earliest notice. Returns
     * whether the record changed.
     */
    boolean merge(EndpointRecord update) {
        return replace(mergeMonotonic(record, update));
    }

    boolean advanceTo(EndpointState state) {
        return replace(
                mergeMonotonic(
                        record, withState(record, state, record.noticedAt(), record.reclaimAt())));
    }

    boolean recordReclaimNotice(Instant noticedAt, Instant reclaimAt) {
        return replace(
                mergeMonotonic(
                        record,
                        withState(
                                record,
                                EndpointState.LEAVING,
                                Optional.of(noticedAt),
                                Optional.of(reclaimAt))));
    }

    private boolean replace(EndpointRecord next) {
        Preconditions.checkInvariant(
                next.state().compareTo(record.state()) >= 0, "endpoint state moved backwards");
        boolean changed = !next.equals(record);
        record = next;
        return changed;
    }

    private static EndpointRecord mergeMonotonic(EndpointRecord old, EndpointRecord update) {
        Optional<Instant> noticedAt = earliest(old.noticedAt(), update.noticedAt());
        EndpointState state = max(old.state(), update.state());
        if (noticedAt.isPresent()) {
            state = max(state, EndpointState.LEAVING);
        }
        return withState(update, state, noticedAt, earliest(old.reclaimAt(), update.reclaimAt()));
    }

    private static EndpointRecord withState(
            EndpointRecord r,
            EndpointState state,
            Optional<Instant> noticedAt,
            Optional<Instant> reclaimAt) {
        return new EndpointRecord(
                r.id(),
                r.zone(),
                r.address(),
                r.service(),
                r.models(),
                r.machineClass(),
                r.reclaimable(),
                r.pricePerHour(),
                r.checksFencing(),
                state,
                noticedAt,
                reclaimAt);
    }

    private static EndpointState max(EndpointState a, EndpointState b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    private static Optional<Instant> earliest(Optional<Instant> a, Optional<Instant> b) {
        return a.isPresent() && (b.isEmpty() || a.get().isBefore(b.get())) ? a : b;
    }

    EndpointSnapshot snapshot(long halfLifeMillis) {
        return new EndpointSnapshot(
                record,
                ownTokens,
                ownRequests,
                remoteLoad.tokens(),
                remoteLoad.atMillis(),
                halfLifeMillis,
                reachable,
                pausedUntilMillis);
    }
}
