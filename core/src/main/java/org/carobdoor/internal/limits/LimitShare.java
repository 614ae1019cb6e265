package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;

/**
 * What one node may use of one limit, for all kinds but requests in flight.
 *
 * <pre>{@code
 * if (!share.tryUse(1, limit, live, now)) {
 *     OptionalLong wanted = share.wanted(1, now);
 *     ... ask the home, share.onReply(...), try again ...
 * }
 * }</pre>
 *
 * <p>For two seconds after the home did not answer, the node uses the fallback share if it is
 * larger than what it was granted. Not safe for use by several threads at once.
 */
public final class LimitShare {
    /** A node asks again this many times a window after it got less than it wanted. */
    private static final int ASKS_PER_WINDOW = 10;

    /** Between asks of a home that does not answer. */
    private static final Duration AFTER_FAILURE = Duration.ofMillis(500);

    /** How long a node goes on alone before it waits for the home again. */
    private static final Duration FALLBACK_TIME = Duration.ofSeconds(2);

    private final LimitKind kind;
    private LimitWindow window;
    private long used;
    private long charged;
    private long usedBefore;
    private long granted;
    private long fallback;
    private Instant fallbackUntil = Instant.EPOCH;
    private Instant nextAsk = Instant.EPOCH;

    /** Creates an empty share. */
    public LimitShare(LimitKind kind, Instant now) {
        this.kind = kind;
        this.window = LimitWindow.at(kind, now);
    }

    /**
     * Takes {@code amount} if the node's allotment suffices.
     *
     * @param limit the limit in force
     * @param knownLive how many live nodes this node knows, itself included
     */
    public boolean tryUse(long amount, long limit, int knownLive, Instant now) {
        turn(now);
        boolean alone = now.isBefore(fallbackUntil);
        if (alone) {
            long share = OvershootBound.fallbackShare(window.allowance(limit, now), knownLive);
            fallback = Math.max(fallback, share);
        }
        // The share is no addition to a grant, so that a lost reply does not raise the bound.
        long allowed = alone ? Math.max(granted, fallback) : granted;
        if (used + charged + amount > allowed) {
            return false;
        }
        used += amount;
        Preconditions.checkInvariant(
                used <= Math.max(granted, fallback), "a node used more than it was allotted");
        return true;
    }

    /** Counts use that is known only afterwards, such as tokens of an answer; it can be a debt. */
    public void charge(long amount, Instant now) {
        turn(now);
        charged += amount;
    }

    /** Returns how much to ask the home for now, if it should be asked. */
    public OptionalLong wanted(long amount, Instant now) {
        turn(now);
        if (now.isBefore(nextAsk)) {
            return OptionalLong.empty();
        }
        long missing = used + charged + amount - granted;
        // As much as in the last window saves messages; the rest of a grant lapses unused.
        return OptionalLong.of(Math.max(missing, usedBefore / 4));
    }

    /** Takes the answer of the home to an amount wanted. */
    public void onReply(Result<AllotmentReply> result, long wanted, Instant now) {
        turn(now);
        switch (result) {
            case Result.Err<AllotmentReply> err -> {
                fallbackUntil = now.plus(FALLBACK_TIME);
                nextAsk = now.plus(AFTER_FAILURE);
            }
            case Result.Ok<AllotmentReply>(var reply) -> {
                if (!reply.until().equals(window.end())) {
                    // Granted for another window, or the home cannot say; not to be used now.
                    fallbackUntil = now.plus(FALLBACK_TIME);
                    nextAsk = now.plus(kind.window().dividedBy(ASKS_PER_WINDOW));
                    return;
                }
                fallbackUntil = Instant.EPOCH;
                granted += reply.granted();
                if (reply.granted() < wanted) {
                    nextAsk = now.plus(kind.window().dividedBy(ASKS_PER_WINDOW));
                }
            }
        }
    }

    private void turn(Instant now) {
        LimitWindow current = LimitWindow.at(kind, now);
        if (!current.begin().isAfter(window.begin())) {
            return;
        }
        usedBefore = used + charged;
        // A debt goes over into the next window.
        charged = Math.max(0, used + charged - Math.max(granted, fallback));
        window = current;
        used = 0;
        granted = 0;
        fallback = 0;
        nextAsk = now;
    }
}
