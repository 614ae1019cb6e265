package org.carobdoor.internal.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The era of the store that this node knows, and what an answer is worth by its era.
 *
 * <p>A store that fails may return from a copy that is seconds old. What it has acknowledged since
 * is gone, and revisions and leases are given out again, so a call that was made before may be
 * answered, or carried out, by a store in which its numbers mean something else. The store states
 * its era in each answer. An answer of an earlier era than the known one is late and dropped. An
 * answer of the known era to a call of an earlier one counts only if the call depends on no number
 * of the store. All revisions in answers are combined with their era ({@link StoreRevision}).
 *
 * <p>Without a stated era, everything is in era 0. Not thread-safe.
 */
public final class StoreEra {
    /** What a call depends on. */
    public enum Call {
        /** Reads the first keys with a prefix. */
        FIRST_PAGE,
        /** Reads the keys after one of an earlier page. */
        NEXT_PAGE,
        /** Waits for the changes after a revision. */
        WATCH,
        /** Renews a lease. */
        RENEWAL,
        /** Takes a lease, or writes on conditions. */
        WRITE
    }

    private static final long UNKNOWN = -1;

    private long era = UNKNOWN;

    private StoreEra() {}

    /** Returns an instance that knows no era. */
    public static StoreEra create() {
        return new StoreEra();
    }

    /** Returns the known era; 0 if there is none. */
    public long current() {
        return Math.max(0, era);
    }

    /** Returns the era to remember with a call that is sent now. */
    public long atSending() {
        return era;
    }

    /**
     * Records the era that the store has stated to this node or to another one; returns whether a
     * new one has begun since this node first knew the store.
     */
    public boolean observe(long stated) {
        if (stated <= era) {
            return false;
        }
        boolean begun = era != UNKNOWN;
        era = stated;
        return begun;
    }

    /**
     * Returns what an answer means to this node, after its era has been {@link #observe observed}.
     *
     * @param stated the era in the answer; empty if it has none
     * @param sentIn the era {@link #atSending} of the call
     */
    public StoreAnswer attribute(StoreAnswer answer, OptionalLong stated, long sentIn, Call call) {
        if (answer instanceof StoreAnswer.NotDone || answer instanceof StoreAnswer.Unknown) {
            return answer;
        }
        long answered = stated.orElse(0);
        if (answered != current()) {
            return new StoreAnswer.Unknown(
                    "answer of era " + answered + ", known era " + current());
        }
        if (sentIn == UNKNOWN || sentIn == answered) {
            return combine(answer);
        }
        return switch (call) {
            case FIRST_PAGE -> combine(answer);
            case NEXT_PAGE, WATCH -> new StoreAnswer.HistoryGone();
            case RENEWAL -> new StoreAnswer.Missing();
            case WRITE -> new StoreAnswer.Unknown("sent in era " + sentIn);
        };
    }

    /** Returns whether a call in the known era can refer to this combined revision. */
    public boolean isCurrent(long combined) {
        return StoreRevision.isOfEra(combined, current());
    }

    /** Returns the revision to send to the store for a {@link #isCurrent current} one. */
    public long inStore(long combined) {
        return StoreRevision.inStore(combined, current());
    }

    private StoreAnswer combine(StoreAnswer answer) {
        if (current() == 0) {
            return answer;
        }
        return switch (answer) {
            case StoreAnswer.Page(List<StoreItem> items, boolean truncated, long revision) ->
                    new StoreAnswer.Page(
                            items.stream().map(this::combine).toList(),
                            truncated,
                            combine(revision));
            case StoreAnswer.Changes(List<StoreChange> changes, long revision) -> {
                List<StoreChange> combined = new ArrayList<>();
                for (StoreChange c : changes) {
                    combined.add(
                            switch (c) {
                                case StoreChange.Written(StoreItem item) ->
                                        new StoreChange.Written(combine(item));
                                case StoreChange.Deleted(String key, long at) ->
                                        new StoreChange.Deleted(key, combine(at));
                            });
                }
                yield new StoreAnswer.Changes(combined, combine(revision));
            }
            case StoreAnswer.Written(long revision) -> new StoreAnswer.Written(combine(revision));
            default -> answer;
        };
    }

    private StoreItem combine(StoreItem item) {
        return new StoreItem(item.key(), item.value(), combine(item.revision()));
    }

    private long combine(long revision) {
        return StoreRevision.of(current(), revision);
    }
}
