package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.store.StoreRevision;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;
import org.jspecify.annotations.Nullable;

/**
 * The quarantined patterns that a node knows, and the writes that keep them in the store.
 *
 * <p>Requests are refused as soon as the node learns of their pattern from any source. The store
 * keeps the entry for nodes that start later, and decides which node may send a trial request: only
 * one conditional write of an entry succeeds. An entry ends with an answered trial, when the
 * operator deletes its key, or when no request has matched it for {@link #IDLE_MILLIS}.
 *
 * <p>A store that comes back from an older copy lacks the entries that were written since, and has
 * those again that have ended since. The former are written again, the latter deleted again.
 *
 * <p>Not thread-safe.
 */
final class QuarantineTable {
    /**
     * Maximum number of entries. Beyond it, the entry that was requested longest ago is dropped and
     * its features have to be incriminated again.
     */
    static final int MAX_ENTRIES = 512;

    /**
     * Trials of an entry. Each one that fails ends an endpoint, and the platform allows three more
     * matching requests on all nodes together; one of these covers a request that is being sent
     * while the pattern is quarantined.
     */
    static final int MAX_TRIALS = 2;

    /** Time until the first trial. */
    static final long FIRST_TRIAL_MILLIS = 600_000;

    /** Factor between the delays before successive trials. */
    static final int TRIAL_DELAY_FACTOR = 10;

    /** An entry that no request has matched for this long is deleted. */
    static final long IDLE_MILLIS = 24 * 3_600_000L;

    /** Interval at which the time of the last request is written, which costs a store call. */
    static final long REQUESTED_UPDATE_MILLIS = 6 * 3_600_000L;

    /** Retry-After if no further trial is due: only the operator ends the entry. */
    static final long NO_TRIAL_RETRY_AFTER_MILLIS = 3_600_000;

    /** A refused request is not served sooner than after this time, even if a trial is due. */
    static final long MIN_RETRY_AFTER_MILLIS = 60_000;

    /** How long a granted trial waits for a request. */
    static final long TRIAL_WAIT_NANOS = 60_000_000_000L;

    /** Delay before the node that quarantined a pattern writes it, so that it can be cleared. */
    private static final long FIRST_WRITE_DELAY_NANOS = 200_000_000L;

    /** Delay range before other nodes write an entry that is still not in the store. */
    private static final long WRITE_RETRY_MIN_NANOS = 1_000_000_000L;

    private static final long WRITE_RETRY_SPREAD_NANOS = 2_000_000_000L;

    /**
     * Range of the delay before an entry is written again into a store that has come back without
     * it. All nodes know it; the first one's write reaches the others before most of them are due.
     */
    private static final long REWRITE_SPREAD_NANOS = 8_000_000_000L;

    private static final int MAX_LIFTED = 512;

    private static final class Held {
        QuarantineEntry entry;
        final long heldSinceNanos;
        long revision;
        long writeDueNanos;
        boolean requestedHere;
        boolean trialWanted;
        boolean trialGranted;
        long trialUntilNanos;
        boolean deletionWanted;
        boolean rewriteWanted;
        boolean decidedHere;
        boolean writeFailed;

        Held(QuarantineEntry entry, long heldSinceNanos) {
            this.entry = entry;
            this.heldSinceNanos = heldSinceNanos;
        }

        boolean isTrialDue(long nowMillis) {
            return entry.trials() < MAX_TRIALS && nowMillis >= entry.nextTrialMillis();
        }
    }

    /**
     * An entry that has ended.
     *
     * @param sinceMillis the time of the entry
     * @param revision the revision of its deletion
     */
    private record Lifted(long sinceMillis, long revision) {}

    private final Map<RequestPattern, Held> entries = new HashMap<>();
    private final Map<RequestPattern, Lifted> liftedEntries =
            new LeastRecentlyUsedMap<>(MAX_LIFTED);
    private final List<QuarantineStoreStep> evictions = new ArrayList<>();
    private final RandomGenerator random;

    QuarantineTable(RandomGenerator random) {
        this.random = random;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    List<QuarantineEntry> entries() {
        return entries.values().stream().map(h -> h.entry).toList();
    }

    /** Returns a value that is equal for equal sets of patterns. */
    long digest() {
        long digest = 0;
        for (RequestPattern p : entries.keySet()) {
            digest ^= Rendezvous.hash(p.toString());
        }
        return digest;
    }

    /**
     * Adds an entry that this node or a peer has decided.
     *
     * @param decidedHere whether this node reported the crash that decided it
     * @return whether the pattern was not quarantined before
     */
    boolean add(QuarantineEntry entry, boolean decidedHere, long nowNanos) {
        Lifted lifted = liftedEntries.get(entry.pattern());
        boolean covered = entries.keySet().stream().anyMatch(held -> held.covers(entry.pattern()));
        if (covered || (lifted != null && entry.sinceMillis() <= lifted.sinceMillis)) {
            return false;
        }
        Held h = new Held(entry, nowNanos);
        h.decidedHere = decidedHere;
        h.writeDueNanos =
                nowNanos + (decidedHere ? FIRST_WRITE_DELAY_NANOS : randomWriteDelayNanos());
        insert(h);
        return true;
    }

    /** Applies an entry of the store; returns whether the pattern was not quarantined before. */
    boolean put(QuarantineEntry entry, long revision, long nowNanos) {
        Held h = entries.get(entry.pattern());
        if (h != null && revision <= h.revision) {
            return false;
        }
        if (h == null) {
            Held added = new Held(entry, nowNanos);
            added.revision = revision;
            added.writeDueNanos = nowNanos + randomWriteDelayNanos();
            added.deletionWanted = hasEndedInFormerEra(entry, revision);
            insert(added);
            return true;
        }
        boolean olderCopy =
                StoreRevision.isLaterEra(revision, h.revision)
                        && entry.sinceMillis() == h.entry.sinceMillis()
                        && entry.trials() < h.entry.trials();
        if (olderCopy) {
            h.rewriteWanted = true;
            h.writeDueNanos = nowNanos + random.nextLong(REWRITE_SPREAD_NANOS);
        } else {
            h.entry = entry;
            h.rewriteWanted = false;
        }
        h.revision = revision;
        return false;
    }

    private boolean hasEndedInFormerEra(QuarantineEntry entry, long revision) {
        Lifted lifted = liftedEntries.get(entry.pattern());
        return lifted != null
                && entry.sinceMillis() <= lifted.sinceMillis
                && StoreRevision.isLaterEra(revision, lifted.revision);
    }

    private void insert(Held h) {
        if (entries.size() >= MAX_ENTRIES) {
            evictOldest();
        }
        entries.put(h.entry.pattern(), h);
    }

    private void evictOldest() {
        Held oldest = null;
        for (Held h : entries.values()) {
            if (oldest == null || h.entry.requestedMillis() < oldest.entry.requestedMillis()) {
                oldest = h;
            }
        }
        if (oldest != null) {
            entries.remove(oldest.entry.pattern());
            if (oldest.revision > 0) {
                evictions.add(
                        new QuarantineStoreStep.Delete(oldest.entry.pattern(), oldest.revision));
            }
        }
    }

    /**
     * Applies the deletion of an entry from the store, by a trial or the operator; returns whether
     * the pattern was quarantined.
     */
    boolean remove(RequestPattern pattern, long revision) {
        Held h = entries.get(pattern);
        if (h == null || revision <= h.revision) {
            return false;
        }
        liftedEntries.put(pattern, new Lifted(h.entry.sinceMillis(), revision));
        entries.remove(pattern);
        return true;
    }

    /**
     * Removes the entries that a complete read of the store at {@code revision} lacks. Those that
     * were written in a former era become due to be written again.
     */
    List<RequestPattern> removeMissing(Set<RequestPattern> listed, long revision, long nowNanos) {
        List<RequestPattern> removed = new ArrayList<>();
        for (RequestPattern p : new HashSet<>(entries.keySet())) {
            Held h = entries.get(p);
            boolean ofFormerEra = h != null && StoreRevision.isLaterEra(revision, h.revision);
            if (h != null && h.revision > 0 && ofFormerEra && !listed.contains(p)) {
                h.revision = 0;
                h.writeDueNanos = nowNanos + random.nextLong(REWRITE_SPREAD_NANOS);
            } else if (h != null && h.revision > 0 && !listed.contains(p) && remove(p, revision)) {
                removed.add(p);
            }
        }
        return removed;
    }

    /**
     * Removes the entries that are not in the store yet and are no longer justified.
     *
     * @param justified whether a pattern is
     */
    void removeUnsavedUnless(Predicate<RequestPattern> justified) {
        entries.values().removeIf(h -> h.revision == 0 && !justified.test(h.entry.pattern()));
    }

    /** Decides on a request; a trial is used up by this call. */
    QuarantineDecision decide(RequestFeatures features, long nowNanos, long nowMillis) {
        List<Held> matches = matches(features);
        if (matches.isEmpty()) {
            return new QuarantineDecision.Allowed();
        }
        matches.forEach(h -> h.requestedHere = true);
        Held first = matches.getFirst();
        boolean trial =
                matches.size() == 1 && first.trialGranted && nowNanos - first.trialUntilNanos < 0;
        if (trial) {
            first.trialGranted = false;
            return new QuarantineDecision.Trial(first.entry);
        }
        matches.forEach(h -> h.trialWanted |= h.isTrialDue(nowMillis));
        return new QuarantineDecision.Refused(first.entry, retryAfterMillis(first, nowMillis));
    }

    /** Returns the entry that forbids a request, without using up a trial. */
    Optional<QuarantineEntry> find(RequestFeatures features) {
        List<Held> matches = matches(features);
        return matches.isEmpty() ? Optional.empty() : Optional.of(matches.getFirst().entry);
    }

    private List<Held> matches(RequestFeatures features) {
        List<Held> matches = new ArrayList<>();
        if (!entries.isEmpty()) {
            for (Held h : entries.values()) {
                if (h.entry.pattern().matches(features)) {
                    matches.add(h);
                }
            }
        }
        return matches;
    }

    private static long retryAfterMillis(Held h, long nowMillis) {
        if (h.entry.trials() >= MAX_TRIALS) {
            return NO_TRIAL_RETRY_AFTER_MILLIS;
        }
        return Math.clamp(
                h.entry.nextTrialMillis() - nowMillis,
                MIN_RETRY_AFTER_MILLIS,
                NO_TRIAL_RETRY_AFTER_MILLIS);
    }

    /**
     * Requests the deletion of an entry if a request that matches it was answered although it had
     * been quarantined.
     *
     * @param answerNanos when the answer began
     */
    void recordAnswer(RequestFeatures features, long answerNanos) {
        for (Held h : matches(features)) {
            h.deletionWanted |= answerNanos - h.heldSinceNanos > 0;
        }
    }

    /** Returns the writes that are due now. */
    List<QuarantineStoreStep> dueSteps(long nowNanos, long nowMillis) {
        List<QuarantineStoreStep> steps = new ArrayList<>(evictions);
        evictions.clear();
        for (Held h : entries.values()) {
            if (nowNanos - h.writeDueNanos >= 0) {
                QuarantineStoreStep step = dueStep(h, nowMillis);
                if (step != null) {
                    steps.add(step);
                    h.writeDueNanos = nowNanos + randomWriteDelayNanos();
                    h.writeFailed = false;
                }
            }
        }
        return steps;
    }

    private @Nullable QuarantineStoreStep dueStep(Held h, long nowMillis) {
        QuarantineEntry e = h.entry;
        if (h.revision == 0) {
            return new QuarantineStoreStep.Create(e);
        }
        long unrequestedMillis = nowMillis - e.requestedMillis();
        boolean idle = !h.requestedHere && unrequestedMillis > IDLE_MILLIS;
        if (h.deletionWanted || idle) {
            return new QuarantineStoreStep.Delete(e.pattern(), h.revision);
        }
        if (h.rewriteWanted) {
            return new QuarantineStoreStep.Update(e, h.revision);
        }
        if (h.trialWanted && h.isTrialDue(nowMillis)) {
            long delay = FIRST_TRIAL_MILLIS;
            for (int i = 0; i <= e.trials(); i++) {
                delay *= TRIAL_DELAY_FACTOR;
            }
            return new QuarantineStoreStep.Update(
                    e.withTrial(nowMillis + delay, nowMillis), h.revision);
        }
        if (h.requestedHere && unrequestedMillis > REQUESTED_UPDATE_MILLIS) {
            return new QuarantineStoreStep.Update(e.withRequestedMillis(nowMillis), h.revision);
        }
        return null;
    }

    /** Records that the store has not carried out a step. */
    void stepFailed(QuarantineStoreStep step) {
        Held h = entries.get(step.pattern());
        if (h != null) {
            h.writeFailed = true;
        }
    }

    /**
     * Records that the store answers again: the entries that this node has decided and could not
     * write are due, before a restart of all nodes can lose them.
     */
    void storeRegained(long nowNanos) {
        for (Held h : entries.values()) {
            if (h.revision == 0 && h.decidedHere && h.writeFailed) {
                h.writeDueNanos = nowNanos;
            }
        }
    }

    /** Applies the result of a step that was written at {@code revision}. */
    void stepWritten(QuarantineStoreStep step, long revision, long nowNanos) {
        Held h = entries.get(step.pattern());
        switch (step) {
            case QuarantineStoreStep.Create(QuarantineEntry entry) ->
                    put(entry, revision, nowNanos);
            case QuarantineStoreStep.Update(QuarantineEntry entry, long replaced) -> {
                boolean trial = h != null && entry.trials() > h.entry.trials();
                put(entry, revision, nowNanos);
                if (h != null) {
                    h.requestedHere = false;
                    h.trialWanted = false;
                    h.trialGranted |= trial;
                    h.trialUntilNanos = nowNanos + TRIAL_WAIT_NANOS;
                }
            }
            case QuarantineStoreStep.Delete(RequestPattern pattern, long replaced) ->
                    remove(pattern, revision);
        }
    }

    private long randomWriteDelayNanos() {
        return WRITE_RETRY_MIN_NANOS + random.nextLong(WRITE_RETRY_SPREAD_NANOS);
    }
}
