package org.carobdoor.internal.store;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a node watches the store itself or relies on the messages of nodes that do, and
 * when it asks one of them for changes that it missed.
 *
 * <p>The node keeps the time at which its copy was last proven to be complete: the last reply of
 * the store to a sender whose changes it has all. Whatever fails, be it that senders are killed,
 * frozen, slow, or cut off from the store or from this node, this time no longer advances, and the
 * node calls the store itself soon enough to learn of each change within the bound. Limits are
 * random, so that the nodes of a zone that lose a sender do not call at the same time, and return
 * one after the other. Not thread-safe.
 */
public final class NewsFollower {
    /** Least age of the proof at which a served node watches the store itself. */
    static final long LAPSE_NANOS = 1_100_000_000L;

    /** Added at random; the sum and two quick calls remain below two seconds. */
    static final long LAPSE_SPREAD_NANOS = 200_000_000L;

    /** Least time for which senders must be good before the node relies on them. */
    static final long RETURN_NANOS = 2_000_000_000L;

    static final long RETURN_SPREAD_NANOS = 3_000_000_000L;

    /** Time in which another sender usually delivers what is missing. */
    private static final long GAP_WAIT_NANOS = 100_000_000L;

    private static final long GAP_REPEAT_NANOS = 300_000_000L;

    private final RandomGenerator random;
    private WatchMode mode = WatchMode.WATCHING;
    private boolean relayed;
    private boolean reader;
    private boolean proven;
    private long provenNanos;
    private long goodSinceNanos;
    private long lapseNanos = LAPSE_NANOS;
    private long returnNanos;
    private @Nullable String gapSender;
    private long gapRevision;
    private long requestAtNanos;

    private NewsFollower(RandomGenerator random) {
        this.random = random;
        drawLimits();
    }

    /** Returns a follower of a node that watches the store itself. */
    public static NewsFollower create(RandomGenerator random) {
        return new NewsFollower(random);
    }

    /** Returns the mode that the last call of {@link #next} determined. */
    public WatchMode mode() {
        return mode;
    }

    /** Returns whether the cluster is large enough for nodes to tell each other. */
    public boolean isRelayed() {
        return relayed;
    }

    /**
     * Sets what is asked of this node.
     *
     * @param clusterRelayed whether the cluster is large enough for nodes to tell each other
     * @param asReader whether this node watches the store for others
     */
    public void assign(boolean clusterRelayed, boolean asReader) {
        relayed = clusterRelayed;
        reader = clusterRelayed && asReader;
    }

    /**
     * Records that a message has shown the copy to have been complete at a time, unless changes are
     * known to be missing.
     *
     * @param revision the revision of the copy
     * @param atNanos that time: when the store replied to the sender, not when the message was read
     */
    public void recordProof(long revision, long atNanos, long nowNanos) {
        if (gapSender != null && revision < gapRevision) {
            return;
        }
        if (!isProven(nowNanos)) {
            goodSinceNanos = nowNanos;
        }
        if (!proven || atNanos - provenNanos > 0) {
            provenNanos = atNanos;
        }
        proven = true;
        gapSender = null;
    }

    /** Returns whether messages have shown recently that the copy is complete. */
    public boolean isProven(long nowNanos) {
        return proven && nowNanos - provenNanos <= lapseNanos;
    }

    /** Returns the time since messages last showed the copy to be complete; -1 if never. */
    public long proofAgeNanos(long nowNanos) {
        return proven ? nowNanos - provenNanos : -1;
    }

    /**
     * Records that {@code sender} has changes up to {@code revision} that this node missed.
     *
     * @param revision a revision of the era of the copy; {@link Long#MAX_VALUE} if the sender knows
     *     a later era
     */
    public void recordGap(String sender, long revision, long nowNanos) {
        if (gapSender == null) {
            requestAtNanos = nowNanos + GAP_WAIT_NANOS;
        }
        gapRevision = revision;
        gapSender = sender;
    }

    /** Records that the copy was replaced by a complete list. */
    public void recordComplete() {
        gapSender = null;
    }

    /**
     * Returns the node to ask now for the missed changes.
     *
     * @param revision the revision of the copy
     */
    public Optional<String> nextRequest(long revision, long nowNanos) {
        if (revision >= gapRevision) {
            gapSender = null;
        }
        if (gapSender == null || nowNanos - requestAtNanos < 0) {
            return Optional.empty();
        }
        requestAtNanos = nowNanos + GAP_REPEAT_NANOS;
        return Optional.of(gapSender);
    }

    /** Determines the mode. */
    public WatchMode next(long nowNanos) {
        if (reader) {
            mode = WatchMode.READING;
        } else if (!relayed || !isProven(nowNanos)) {
            if (mode != WatchMode.WATCHING) {
                drawLimits();
            }
            mode = WatchMode.WATCHING;
        } else if (mode != WatchMode.SERVED) {
            boolean settled = nowNanos - goodSinceNanos >= returnNanos;
            mode = settled ? WatchMode.SERVED : WatchMode.WATCHING;
        }
        return mode;
    }

    private void drawLimits() {
        lapseNanos = LAPSE_NANOS + random.nextLong(LAPSE_SPREAD_NANOS);
        returnNanos = RETURN_NANOS + random.nextLong(RETURN_SPREAD_NANOS);
    }
}
