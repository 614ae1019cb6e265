package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;

/**
 * The slots for requests in flight that one node holds of one limit. Requests that are still
 * running when their slots expire are not stopped, but no new request starts above the number of
 * slots. Not thread-safe.
 */
public final class SlotShare {
    /** Slots are renewed after a third of their lifetime, so that two renewals may fail. */
    private static final Duration RENEWAL_INTERVAL = LimitKind.MAX_IN_FLIGHT.window().dividedBy(3);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private long inFlight;
    private long slots;
    private Instant until = Instant.EPOCH;
    private Instant renewAt = Instant.EPOCH;
    private Instant nextRequestAt = Instant.EPOCH;
    private boolean homeUnavailable;

    /** Starts a request if a slot is free; {@link #end} must follow. */
    public boolean tryStart(long limit, int knownLive, Instant now) {
        long allowed = allowed(limit, knownLive, now);
        if (inFlight >= allowed) {
            return false;
        }
        inFlight++;
        Preconditions.checkInvariant(inFlight <= allowed, "requests in flight exceed the slots");
        return true;
    }

    /** Counts a request that starts while no limit is in force. */
    public void start() {
        inFlight++;
    }

    private long allowed(long limit, int knownLive, Instant now) {
        if (until.isAfter(now)) {
            return slots;
        }
        return homeUnavailable ? OvershootBound.fallbackShare(limit, knownLive) : 0;
    }

    /** Ends a request. */
    public void end() {
        Preconditions.checkInvariant(inFlight > 0, "more requests ended than started");
        inFlight--;
    }

    /**
     * Returns how many slots to request from the home now; empty if none should be requested.
     *
     * @param waiting how many requests could not start
     */
    public OptionalLong wanted(long waiting, Instant now) {
        boolean renew = inFlight > 0 && !now.isBefore(renewAt);
        if (now.isBefore(nextRequestAt) || (waiting == 0 && !renew)) {
            return OptionalLong.empty();
        }
        long spare = until.isAfter(now) ? slots - slots / 8 : 0;
        return OptionalLong.of(Math.max(inFlight + waiting, Math.min(spare, 2 * inFlight)));
    }

    /** Applies the answer of the home to a request for {@code wanted} slots. */
    public void onReply(Result<AllotmentReply> result, long wanted, Instant now) {
        switch (result) {
            case Result.Err<AllotmentReply> err -> {
                homeUnavailable = true;
                nextRequestAt = now.plus(RETRY_DELAY);
            }
            case Result.Ok<AllotmentReply>(var reply) -> {
                // A new home sends a reply that has already expired; until it grants slots, the
                // node uses its fallback share.
                homeUnavailable = !reply.until().isAfter(now);
                if (!homeUnavailable) {
                    slots = reply.granted();
                    until = reply.until();
                }
                renewAt = now.plus(RENEWAL_INTERVAL);
                nextRequestAt = reply.granted() < wanted ? now.plus(RETRY_DELAY) : now;
            }
        }
    }
}
