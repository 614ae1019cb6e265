package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.jspecify.annotations.Nullable;

/** The mutable state of one endpoint. Guarded by the lock of its shard. */
final class EndpointCell {
    private EndpointRecord record;
    final OthersLoad others;
    long ownTokens;
    int ownRequests;
    long reportedTokens;
    int failedProbes;
    boolean reachable = true;
    long pausedUntilMillis;
    @Nullable Instant lastSendAt;
    @Nullable Instant goneSince;

    /** Generation of the last change; neighbours in the shard's list, most recent change first. */
    long generation;

    @Nullable EndpointCell newer;
    @Nullable EndpointCell older;

    EndpointCell(EndpointRecord record, long halfLifeMillis) {
        this.record = forward(record, record);
        this.others = new OthersLoad(halfLifeMillis);
    }

    EndpointRecord record() {
        return record;
    }

    /** Takes over {@code update}, but never an earlier state or a later notice. */
    boolean merge(EndpointRecord update) {
        return replace(forward(record, update));
    }

    boolean moveTo(EndpointState state) {
        return replace(
                forward(record, with(record, state, record.noticedAt(), record.reclaimAt())));
    }

    boolean notice(Instant noticedAt, Instant reclaimAt) {
        return replace(
                forward(
                        record,
                        with(
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

    private static EndpointRecord forward(EndpointRecord old, EndpointRecord update) {
        Optional<Instant> noticedAt = earliest(old.noticedAt(), update.noticedAt());
        EndpointState state = max(old.state(), update.state());
        if (noticedAt.isPresent()) {
            state = max(state, EndpointState.LEAVING);
        }
        return with(update, state, noticedAt, earliest(old.reclaimAt(), update.reclaimAt()));
    }

    private static EndpointRecord with(
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

    EndpointSnapshot image(long halfLifeMillis) {
        return new EndpointSnapshot(
                record,
                ownTokens,
                ownRequests,
                others.tokens(),
                others.atMillis(),
                halfLifeMillis,
                reachable,
                pausedUntilMillis);
    }
}
