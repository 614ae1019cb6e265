package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;

/**
 * What one node may use of one limit, for all kinds except requests in flight.
 *
 * <pre>{@code
 * if (!share.tryUse(1, limit, live, now)) {
 *     OptionalLong wanted = share.wanted(1, now);
 *     ... send the request to the home, share.onReply(...), try again ...
 * }
 * }</pre>
 *
 * <p>For two seconds after the home did not answer, the node uses its fallback share if that is
 * larger than what it was granted. Not thread-safe.
 */
public final class LimitShare {
    /** Number of requests that a node sends per window after it was granted less than it wanted. */
    private static final int REQUESTS_PER_WINDOW = 10;

    /** Delay between requests to a home that does not answer. */
    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(500);

    /** How long a node uses its fallback share before it requires an answer from the home again. */
    private static final Duration FALLBACK_DURATION = Duration.ofSeconds(2);

    private final LimitKind kind;
    private LimitWindow window;
    private long used;
    private long charged;
    private long usedInLastWindow;
    private long granted;
    private long fallback;
    private Instant fallbackUntil = Instant.EPOCH;
    private Instant nextRequestAt = Instant.EPOCH;

    /** Creates an empty share. */
    public LimitShare(LimitKind kind, Instant now) {
        this.kind = kind;
        this.window = LimitWindow.at(kind, now);
    }

    /**
     * Takes {@code amount} if the allotment of the node suffices.
     *
     * @param limit the limit in force
     * @param knownLive how many live nodes this node knows, including itself
     */
    public boolean tryUse(long amount, long limit, int knownLive, Instant now) {
        advanceWindow(now);
        boolean inFallback = now.isBefore(fallbackUntil);
        if (inFallback) {
            long share = OvershootBound.fallbackShare(window.allowance(limit, now), knownLive);
            fallback = Math.max(fallback, share);
        }
        // The fallback share replaces a grant instead of adding to it, so that a lost reply does
        // not raise the overshoot bound.
        long allowed = inFallback ? Math.max(granted, fallback) : granted;
        if (used + charged + amount > allowed) {
            return false;
        }
        used += amount;
        Preconditions.checkInvariant(
                used <= Math.max(granted, fallback), "use exceeds the allotment of the node");
        return true;
    }

    /**
     * Counts use that is known only afterwards, such as the tokens of an answer. It may exceed the
     * allotment; the excess is carried over as a debt.
     */
    public void charge(long amount, Instant now) {
        advanceWindow(now);
        charged += amount;
    }

    /** Returns the amount to request from the home now; empty if nothing should be requested. */
    public OptionalLong wanted(long amount, Instant now) {
        advanceWindow(now);
        if (now.isBefore(nextRequestAt)) {
            return OptionalLong.empty();
        }
        long missing = used + charged + amount - granted;
        // Requesting a quarter of the use of the last window saves messages; an unused grant
        // expires.
        return OptionalLong.of(Math.max(missing, usedInLastWindow / 4));
    }

    /** Applies the answer of the home to a request for {@code wanted}. */
    public void onReply(Result<AllotmentReply> result, long wanted, Instant now) {
        advanceWindow(now);
        switch (result) {
            case Result.Err<AllotmentReply> err -> {
                fallbackUntil = now.plus(FALLBACK_DURATION);
                nextRequestAt = now.plus(FAILURE_RETRY_DELAY);
            }
            case Result.Ok<AllotmentReply>(var reply) -> {
                if (!reply.until().equals(window.end())) {
                    // The grant is for another window, or the home is new and cannot grant yet.
                    fallbackUntil = now.plus(FALLBACK_DURATION);
                    nextRequestAt = now.plus(kind.window().dividedBy(REQUESTS_PER_WINDOW));
                    return;
                }
                fallbackUntil = Instant.EPOCH;
                granted += reply.granted();
                if (reply.granted() < wanted) {
                    nextRequestAt = now.plus(kind.window().dividedBy(REQUESTS_PER_WINDOW));
                }
            }
        }
    }

    private void advanceWindow(Instant now) {
        LimitWindow current = LimitWindow.at(kind, now);
        if (!current.begin().isAfter(window.begin())) {
            return;
        }
        usedInLastWindow = used + charged;
        // A debt is carried over into the next window.
        charged = Math.max(0, used + charged - Math.max(granted, fallback));
        window = current;
        used = 0;
        granted = 0;
        fallback = 0;
        nextRequestAt = now;
    }
}
