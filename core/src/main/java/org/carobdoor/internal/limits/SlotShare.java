package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;

/**
 * The slots for requests in flight that one node holds of one limit. Requests that run on after
 * their slots lapsed are not stopped, but no new one starts above the slots. Not safe for use by
 * several threads at once.
 */
public final class SlotShare {
    /** Renewals begin after a third of a grant's time, so that two may fail. */
    private static final Duration RENEWAL = LimitKind.MAX_IN_FLIGHT.window().dividedBy(3);

    private static final Duration AFTER_REFUSAL = Duration.ofMillis(200);

    private long inFlight;
    private long slots;
    private Instant until = Instant.EPOCH;
    private Instant renewAt = Instant.EPOCH;
    private Instant nextAsk = Instant.EPOCH;
    private boolean homeFails;

    /** Starts a request if a slot is free; {@link #end} must follow. */
    public boolean tryStart(long limit, int knownLive, Instant now) {
        long allowed = allowed(limit, knownLive, now);
        if (inFlight >= allowed) {
            return false;
        }
        inFlight++;
        Preconditions.checkInvariant(inFlight <= allowed, "more in flight than slots");
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
        return homeFails ? OvershootBound.fallbackShare(limit, knownLive) : 0;
    }

    /** Ends a request. */
    public void end() {
        Preconditions.checkInvariant(inFlight > 0, "a request ended that did not start");
        inFlight--;
    }

    /**
     * Returns how many slots to ask the home for now, if it should be asked.
     *
     * @param waiting how many requests could not start
     */
    public OptionalLong wanted(long waiting, Instant now) {
        boolean renew = inFlight > 0 && !now.isBefore(renewAt);
        if (now.isBefore(nextAsk) || (waiting == 0 && !renew)) {
            return OptionalLong.empty();
        }
        long spare = until.isAfter(now) ? slots - slots / 8 : 0;
        return OptionalLong.of(Math.max(inFlight + waiting, Math.min(spare, 2 * inFlight)));
    }

    /** Takes the answer of the home to the wanted number of slots. */
    public void onReply(Result<AllotmentReply> result, long wanted, Instant now) {
        switch (result) {
            case Result.Err<AllotmentReply> err -> {
                homeFails = true;
                nextAsk = now.plus(AFTER_REFUSAL);
            }
            case Result.Ok<AllotmentReply>(var reply) -> {
                // A home that is new sends a reply that has lapsed; the share bridges the time.
                homeFails = !reply.until().isAfter(now);
                if (!homeFails) {
                    slots = reply.granted();
                    until = reply.until();
                }
                renewAt = now.plus(RENEWAL);
                nextAsk = reply.granted() < wanted ? now.plus(AFTER_REFUSAL) : now;
            }
        }
    }
}
