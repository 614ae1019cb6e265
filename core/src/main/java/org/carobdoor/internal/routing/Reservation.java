package org.carobdoor.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * A place for one request at an endpoint, counted as outstanding until it is closed. Thread-safe.
 *
 * <pre>{@code
 * try (Reservation r = router.route(request).orElseThrow()) {
 *     if (r.startSend()) {
 *         client.send(r.record().address(), body, token -> r.onTokens(1));
 *     }
 * }
 * }</pre>
 */
public final class Reservation implements AutoCloseable {
    private final ViewShard shard;
    private final EndpointCell cell;
    private final Duration leavingBound;
    private final InstantSource clock;
    private long promptTokens;
    private long outputTokens;
    private boolean open = true;

    Reservation(
            ViewShard shard,
            EndpointCell cell,
            Duration leavingBound,
            InstantSource clock,
            long promptTokens,
            long outputTokens) {
        this.shard = shard;
        this.cell = cell;
        this.leavingBound = leavingBound;
        this.clock = clock;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
    }

    /** Returns the identifier of the endpoint. */
    public EndpointId id() {
        return record().id();
    }

    /** Returns the description of the endpoint as it is known now. */
    public EndpointRecord record() {
        shard.lock.lock();
        try {
            return cell.record();
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Returns whether the request may be sent now. Call it immediately before the first byte: time
     * may have passed since the reservation was made, for example for a claim.
     *
     * @return false if the endpoint has left; close this reservation and choose another endpoint
     */
    public boolean startSend() {
        shard.lock.lock();
        try {
            if (!open || cell.record().state() != EndpointState.LIVE) {
                return false;
            }
            Instant now = clock.instant();
            Optional<Instant> noticedAt = cell.record().noticedAt();
            Preconditions.checkInvariant(
                    noticedAt.isEmpty() || !now.isAfter(noticedAt.get().plus(leavingBound)),
                    "send started later than the bound after the reclaim notice");
            Preconditions.checkInvariant(
                    noticedAt.isEmpty(), "send started although the reclaim notice is known");
            cell.lastSendAt = now;
            return true;
        } finally {
            shard.lock.unlock();
        }
    }

    /** Notes that {@code tokens} more have been generated. The first one ends the prefill. */
    public void onTokens(int tokens) {
        shard.lock.lock();
        try {
            if (open) {
                long done = promptTokens + Math.min(tokens, outputTokens);
                outputTokens -= Math.min(tokens, outputTokens);
                promptTokens = 0;
                release(done);
            }
        } finally {
            shard.lock.unlock();
        }
    }

    /** Takes the request and the rest of its tokens off the count. Repeated calls do nothing. */
    @Override
    public void close() {
        shard.lock.lock();
        try {
            if (open) {
                open = false;
                cell.ownRequests--;
                release(promptTokens + outputTokens);
            }
        } finally {
            shard.lock.unlock();
        }
    }

    private void release(long tokens) {
        cell.ownTokens -= tokens;
        Preconditions.checkInvariant(
                cell.ownTokens >= 0 && cell.ownRequests >= 0, "negative outstanding count");
        if (!shard.isRemoved(cell)) {
            shard.touch(cell);
        }
    }
}
