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
 * A reservation for one request at an endpoint. Its tokens count as outstanding until they are
 * generated or the reservation is closed. Thread-safe.
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
    private final TrackedEndpoint endpoint;
    private final Duration leavingBound;
    private final InstantSource clock;
    private long promptTokens;
    private long outputTokens;
    private boolean open = true;

    Reservation(
            ViewShard shard,
            TrackedEndpoint endpoint,
            Duration leavingBound,
            InstantSource clock,
            long promptTokens,
            long outputTokens) {
        this.shard = shard;
        this.endpoint = endpoint;
        this.leavingBound = leavingBound;
        this.clock = clock;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
    }

    /** Returns the identifier of the endpoint. */
    public EndpointId id() {
        return record().id();
    }

    /** Returns the current record of the endpoint. */
    public EndpointRecord record() {
        shard.lock.lock();
        try {
            return endpoint.record();
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Returns whether the request may be sent now. Call it immediately before writing the first
     * byte, because the state of the endpoint may have changed since the reservation was made, for
     * example while a claim was written.
     *
     * @return false if the endpoint is no longer live; close this reservation and route the request
     *     again
     */
    public boolean startSend() {
        shard.lock.lock();
        try {
            if (!open || endpoint.record().state() != EndpointState.LIVE) {
                return false;
            }
            Instant now = clock.instant();
            Optional<Instant> noticedAt = endpoint.record().noticedAt();
            Preconditions.checkInvariant(
                    noticedAt.isEmpty() || !now.isAfter(noticedAt.get().plus(leavingBound)),
                    "send started later than the bound after the reclaim notice");
            Preconditions.checkInvariant(
                    noticedAt.isEmpty(), "send started although the reclaim notice is known");
            endpoint.lastSendAt = now;
            return true;
        } finally {
            shard.lock.unlock();
        }
    }

    /** Records that {@code tokens} more tokens were generated. The first one ends the prefill. */
    public void onTokens(int tokens) {
        shard.lock.lock();
        try {
            if (open) {
                long processed = promptTokens + Math.min(tokens, outputTokens);
                outputTokens -= Math.min(tokens, outputTokens);
                promptTokens = 0;
                release(processed);
            }
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Removes the request and its remaining tokens from the outstanding count. Repeated calls have
     * no effect.
     */
    @Override
    public void close() {
        shard.lock.lock();
        try {
            if (open) {
                open = false;
                endpoint.ownRequests--;
                release(promptTokens + outputTokens);
            }
        } finally {
            shard.lock.unlock();
        }
    }

    private void release(long tokens) {
        endpoint.ownTokens -= tokens;
        Preconditions.checkInvariant(
                endpoint.ownTokens >= 0 && endpoint.ownRequests >= 0, "negative outstanding count");
        if (!shard.isRemoved(endpoint)) {
            shard.touch(endpoint);
        }
    }
}
