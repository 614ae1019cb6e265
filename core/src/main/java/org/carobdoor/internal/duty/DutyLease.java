package org.carobdoor.internal.duty;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.store.StoreRevision;
import org.jspecify.annotations.Nullable;

/**
 * The state machine that determines whether this node holds the cluster duties.
 *
 * <p>The holder's key is stored with a lease attached. A node that finds no key acquires a lease
 * and writes the key on condition that it does not exist; the store's revision of that write is the
 * fencing token, so a later holder has a higher one. The holder acts only while its lease is valid,
 * measured from before its last renewal was sent. The monotonic clock stops while a VM is
 * suspended, so the lease must also be valid by the wall clock.
 *
 * <p>A store that comes back from an older copy has lost leases, and may have the key of a holder
 * that renews no lease any more. In each era of the store the duties are therefore taken anew: the
 * former holder, which knows that it has stopped, may take them at once, and all others after the
 * time in which it may not have learned of the era. A key that was written in a former era is
 * replaced. Fencing tokens rise across eras, as they are combined with the era ({@link
 * StoreRevision}).
 *
 * <p>The caller performs one step at a time and reports its outcome. Not thread-safe.
 */
public final class DutyLease {
    /**
     * Margin by which the lease is treated as ended before the store ends it, to allow for clock
     * drift.
     */
    private static final long SAFETY_MARGIN_MILLIS = 400;

    private static final int RENEWALS_PER_LEASE = 3;

    /** Upper bound of the random delay before acquiring a free key, which reduces collisions. */
    private static final long MAX_JITTER_MILLIS = 300;

    /** Before the era in a token; tokens of era 0 have none. */
    private static final String ERA_MARK = "/era-";

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
    private boolean stepPending;

    /** Whether the pending step was taken in a former era, so that its outcome has no effect. */
    private boolean stepIsVoid;

    private boolean keyKnown;
    private boolean keyPresent;
    private @Nullable String keyValue;
    private long keyRevision;
    private @Nullable String formerKeyValue;
    private long era;
    private boolean waitingForEra;
    private long eraNotBeforeNanos;
    private long notBeforeNanos;
    private long lease;
    private long fencingToken;
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
     * Returns an instance that does not hold the duties.
     *
     * @param node identifies this run of this node
     */
    public static DutyLease create(String node, RandomGenerator random) {
        return new DutyLease(node, random);
    }

    /**
     * Returns the next step; its outcome must be reported before the following step is returned.
     */
    public DutyStep next(long nowNanos, long wallMillis) {
        if (stepPending) {
            return new DutyStep.Wait();
        }
        if (phase == Phase.HOLDING && !isHolder(nowNanos, wallMillis)) {
            // The lease seems expired but may still be valid in the store; a renewal shows which.
            return startStep(new DutyStep.Renew(lease), nowNanos, wallMillis);
        }
        return switch (phase) {
            case HOLDING ->
                    nowNanos - renewAtNanos >= 0
                            ? startStep(new DutyStep.Renew(lease), nowNanos, wallMillis)
                            : new DutyStep.Wait();
            case LEASED -> {
                token = node + "/" + ++attempt + (era == 0 ? "" : ERA_MARK + era);
                yield startStep(
                        new DutyStep.WriteHolder(lease, token, keyPresent ? keyRevision : 0),
                        nowNanos,
                        wallMillis);
            }
            case OBSERVING ->
                    eligible && keyKnown && isKeyFree() && nowNanos - notBeforeNanos >= 0
                            ? startStep(new DutyStep.TakeLease(), nowNanos, wallMillis)
                            : new DutyStep.Wait();
        };
    }

    /**
     * Reports that the store is in a new era, in which this node holds nothing.
     *
     * @param newEra the era
     * @param leaseMillis how long another node may act that does not know of the era yet
     */
    public void eraBegan(long newEra, long leaseMillis, long nowNanos) {
        waitingForEra = phase != Phase.HOLDING;
        eraNotBeforeNanos = nowNanos + leaseMillis * NANOS_PER_MILLI;
        era = newEra;
        formerKeyValue = keyValue == null ? formerKeyValue : keyValue;
        keyKnown = false;
        keyPresent = false;
        keyValue = null;
        keyRevision = 0;
        token = null;
        stepIsVoid = stepPending;
        stepDown(nowNanos);
    }

    /** Reports the era in which this node first reached the store. */
    public void eraKnown(long firstEra) {
        era = firstEra;
    }

    /** Returns whether no holder of this era has written the key. */
    private boolean isKeyFree() {
        return !keyPresent || keyValue == null || isOfFormerEra(keyValue);
    }

    private boolean isOfFormerEra(String value) {
        if (era == 0) {
            return false;
        }
        int mark = value.lastIndexOf(ERA_MARK);
        if (mark < 0) {
            // Written in era 0, or by a node of an earlier release, which knows no eras.
            return value.equals(formerKeyValue);
        }
        return !value.substring(mark + ERA_MARK.length()).equals(Long.toString(era));
    }

    /** Reports that the store granted a lease of {@code ttlMillis} from the arrival of the call. */
    public void leaseTaken(long newLease, long ttlMillis) {
        if (endVoidStep()) {
            return;
        }
        lease = newLease;
        phase = Phase.LEASED;
        extendLease(ttlMillis);
    }

    /** Reports that the store renewed the lease. */
    public void renewed(long ttlMillis) {
        if (endVoidStep()) {
            return;
        }
        extendLease(ttlMillis);
    }

    /** Reports that the holder's key was written at {@code revision}. */
    public void holderWritten(long revision) {
        if (endVoidStep()) {
            return;
        }
        startHolding(revision);
    }

    /**
     * Reports that the step had no effect or the lease has ended; the node does not hold the
     * duties.
     */
    public void refused(long nowNanos) {
        if (endVoidStep()) {
            return;
        }
        stepDown(nowNanos);
    }

    /** Reports that the outcome of the step is unknown; the watch on the store will show it. */
    public void unanswered(long nowNanos) {
        if (endVoidStep()) {
            return;
        }
        if (phase != Phase.HOLDING) {
            // The lease stays valid: if the write took effect, the watch on the store shows it.
            phase = Phase.OBSERVING;
            delayNextAttempt(nowNanos);
        } else {
            renewAtNanos = nowNanos + MAX_JITTER_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** Reports that the holder's key exists in the store with this value and revision. */
    public void keyWritten(String value, long revision, long nowNanos, long wallMillis) {
        keyKnown = true;
        keyPresent = true;
        if (revision >= keyRevision) {
            keyValue = value;
            keyRevision = revision;
        }
        boolean own = value.equals(token);
        if (own && phase != Phase.HOLDING && isLeaseValid(nowNanos, wallMillis)) {
            startHolding(revision);
        } else if (!own && phase == Phase.HOLDING && revision > fencingToken) {
            stepDown(nowNanos);
        }
    }

    /** Reports that the holder's key does not exist in the store. */
    public void keyMissing(long revision, long nowNanos) {
        keyKnown = true;
        keyPresent = false;
        if (phase == Phase.HOLDING && revision > fencingToken) {
            stepDown(nowNanos);
        } else if (phase == Phase.OBSERVING) {
            delayNextAttempt(nowNanos);
        }
    }

    /**
     * Reports that another node has used a higher fencing token; this node does not hold the
     * duties.
     */
    public void fencedOut(long nowNanos) {
        stepDown(nowNanos);
    }

    /** Releases the duties for good and returns the lease to revoke, if there is one. */
    public OptionalLong release(long nowNanos) {
        OptionalLong held =
                phase == Phase.OBSERVING ? OptionalLong.empty() : OptionalLong.of(lease);
        eligible = false;
        stepDown(nowNanos);
        return held;
    }

    /** Returns whether this node currently holds the duties. */
    public boolean isHolder(long nowNanos, long wallMillis) {
        return phase == Phase.HOLDING && isLeaseValid(nowNanos, wallMillis);
    }

    /** Returns the fencing token of the current or most recent holding of the duties. */
    public long fencingToken() {
        return fencingToken;
    }

    private boolean isLeaseValid(long nowNanos, long wallMillis) {
        return validUntilNanos - nowNanos > 0 && wallMillis < validUntilWallMillis;
    }

    private void startHolding(long revision) {
        phase = Phase.HOLDING;
        fencingToken = revision;
        keyKnown = true;
        keyPresent = true;
        keyValue = token;
        keyRevision = revision;
    }

    private void extendLease(long ttlMillis) {
        long usable = ttlMillis - SAFETY_MARGIN_MILLIS;
        validUntilNanos = stepSentNanos + usable * NANOS_PER_MILLI;
        validUntilWallMillis = stepSentWallMillis + usable;
        renewAtNanos = stepSentNanos + ttlMillis / RENEWALS_PER_LEASE * NANOS_PER_MILLI;
    }

    private void stepDown(long nowNanos) {
        phase = Phase.OBSERVING;
        validUntilNanos = nowNanos;
        delayNextAttempt(nowNanos);
    }

    private void delayNextAttempt(long nowNanos) {
        long first = waitingForEra ? Math.max(0, eraNotBeforeNanos - nowNanos) : 0;
        notBeforeNanos = nowNanos + first + random.nextLong(MAX_JITTER_MILLIS) * NANOS_PER_MILLI;
    }

    /** Ends the pending step; returns whether its outcome has no effect. */
    private boolean endVoidStep() {
        boolean isVoid = stepIsVoid;
        stepPending = false;
        stepIsVoid = false;
        return isVoid;
    }

    private DutyStep startStep(DutyStep step, long nowNanos, long wallMillis) {
        stepPending = true;
        stepSentNanos = nowNanos;
        stepSentWallMillis = wallMillis;
        return step;
    }
}
