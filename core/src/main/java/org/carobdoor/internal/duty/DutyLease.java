package org.carobdoor.internal.duty;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this node holds the duties.
 *
 * <p>The holder's key exists in the store under a lease. A node that finds it missing takes a lease
 * and writes the key on condition that it does not exist; the store's revision of that write is the
 * fencing number, so a later holder has a higher one. The holder acts only while its lease runs,
 * counted from before its last renewal was sent. The steady clock stands still while a VM is
 * suspended, so the clock of day must agree that the lease still runs.
 *
 * <p>The caller performs one step at a time and reports its outcome. Belongs to one thread.
 */
public final class DutyLease {
    /** Ends the tenure before the store ends the lease, for clocks that run at different speed. */
    private static final long MARGIN_MILLIS = 400;

    private static final int RENEWALS_PER_LEASE = 3;

    /** The range of the random wait before a free key is taken, so that few nodes collide. */
    private static final long MAX_JITTER_MILLIS = 300;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private enum Phase {
        OBSERVING,
        LEASED,
        HOLDING
    }

    private final String node;
    private final RandomGenerator random;
    private Phase phase = Phase.OBSERVING;
    private boolean eligible = true;
    private boolean stepOpen;
    private boolean keyKnown;
    private boolean keyPresent;
    private long notBeforeNanos;
    private long lease;
    private long fence;
    private int attempt;
    private @Nullable String token;
    private long validUntilNanos;
    private long validUntilWallMillis;
    private long renewAtNanos;
    private long stepSentNanos;
    private long stepSentWallMillis;

    private DutyLease(String node, RandomGenerator random) {
        this.node = node;
        this.random = random;
    }

    /**
     * Returns a tenure that holds nothing.
     *
     * @param node identifies this run of this node
     */
    public static DutyLease create(String node, RandomGenerator random) {
        return new DutyLease(node, random);
    }

    /** Returns the next step; the caller reports how it ended before it asks again. */
    public DutyStep next(long nowNanos, long wallMillis) {
        if (stepOpen) {
            return new DutyStep.Wait();
        }
        if (phase == Phase.HOLDING && !isHolder(nowNanos, wallMillis)) {
            // A lease that seems over may still run: only a renewal tells.
            return open(new DutyStep.Renew(lease), nowNanos, wallMillis);
        }
        return switch (phase) {
            case HOLDING ->
                    nowNanos - renewAtNanos >= 0
                            ? open(new DutyStep.Renew(lease), nowNanos, wallMillis)
                            : new DutyStep.Wait();
            case LEASED -> {
                token = node + "/" + ++attempt;
                yield open(new DutyStep.WriteHolder(lease, token), nowNanos, wallMillis);
            }
            case OBSERVING ->
                    eligible && keyKnown && !keyPresent && nowNanos - notBeforeNanos >= 0
                            ? open(new DutyStep.TakeLease(), nowNanos, wallMillis)
                            : new DutyStep.Wait();
        };
    }

    /** The store granted a lease that runs for {@code ttlMillis} from the arrival of the call. */
    public void leaseTaken(long newLease, long ttlMillis) {
        stepOpen = false;
        lease = newLease;
        phase = Phase.LEASED;
        extend(ttlMillis);
    }

    /** The store renewed the lease. */
    public void renewed(long ttlMillis) {
        stepOpen = false;
        extend(ttlMillis);
    }

    /** The store has written the holder's key at {@code revision}. */
    public void holderWritten(long revision) {
        stepOpen = false;
        become(revision);
    }

    /** The step had no effect, or the lease has ended: the node holds nothing. */
    public void refused(long nowNanos) {
        stepOpen = false;
        stepDown(nowNanos);
    }

    /** The outcome of the step is unknown; the store's changes will tell whether it took effect. */
    public void unanswered(long nowNanos) {
        stepOpen = false;
        if (phase != Phase.HOLDING) {
            // The lease stays valid: if the write took effect, the store's changes will show it.
            phase = Phase.OBSERVING;
            delay(nowNanos);
        } else {
            renewAtNanos = nowNanos + MAX_JITTER_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** The store shows the holder's key with this value and revision. */
    public void keyWritten(String value, long revision, long nowNanos, long wallMillis) {
        keyKnown = true;
        keyPresent = true;
        boolean own = value.equals(token);
        if (own && phase != Phase.HOLDING && isLeaseValid(nowNanos, wallMillis)) {
            become(revision);
        } else if (!own && phase == Phase.HOLDING && revision > fence) {
            stepDown(nowNanos);
        }
    }

    /** The store shows that the holder's key does not exist. */
    public void keyMissing(long revision, long nowNanos) {
        keyKnown = true;
        keyPresent = false;
        if (phase == Phase.HOLDING && revision > fence) {
            stepDown(nowNanos);
        } else if (phase == Phase.OBSERVING) {
            delay(nowNanos);
        }
    }

    /** Another node has used a higher fencing number: the node holds nothing. */
    public void fencedOut(long nowNanos) {
        stepDown(nowNanos);
    }

    /** Gives the duties up and returns the lease to end, if there is one. */
    public OptionalLong release(long nowNanos) {
        OptionalLong held =
                phase == Phase.OBSERVING ? OptionalLong.empty() : OptionalLong.of(lease);
        eligible = false;
        stepDown(nowNanos);
        return held;
    }

    /** Returns whether this node holds the duties now. */
    public boolean isHolder(long nowNanos, long wallMillis) {
        return phase == Phase.HOLDING && isLeaseValid(nowNanos, wallMillis);
    }

    /** Returns the fencing number of the current or last tenure. */
    public long fence() {
        return fence;
    }

    private boolean isLeaseValid(long nowNanos, long wallMillis) {
        return validUntilNanos - nowNanos > 0 && wallMillis < validUntilWallMillis;
    }

    private void become(long revision) {
        phase = Phase.HOLDING;
        fence = revision;
        keyKnown = true;
        keyPresent = true;
    }

    private void extend(long ttlMillis) {
        long usable = ttlMillis - MARGIN_MILLIS;
        validUntilNanos = stepSentNanos + usable * NANOS_PER_MILLI;
        validUntilWallMillis = stepSentWallMillis + usable;
        renewAtNanos = stepSentNanos + ttlMillis / RENEWALS_PER_LEASE * NANOS_PER_MILLI;
    }

    private void stepDown(long nowNanos) {
        phase = Phase.OBSERVING;
        validUntilNanos = nowNanos;
        delay(nowNanos);
    }

    private void delay(long nowNanos) {
        notBeforeNanos = nowNanos + random.nextLong(MAX_JITTER_MILLIS) * NANOS_PER_MILLI;
    }

    private DutyStep open(DutyStep step, long nowNanos, long wallMillis) {
        stepOpen = true;
        stepSentNanos = nowNanos;
        stepSentWallMillis = wallMillis;
        return step;
    }
}
