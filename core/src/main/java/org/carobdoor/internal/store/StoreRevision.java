package org.carobdoor.internal.store;

/**
 * Combines the era of the store and a revision of that era into one number that orders changes
 * across eras.
 *
 * <p>After a return of the store to an older copy, revisions are given out again. A combined number
 * of a later era is higher than every one of an earlier era, so what is compared by it (items,
 * directories, fencing tokens, what peers know) needs no knowledge of eras. In era 0 the number is
 * the revision.
 */
public final class StoreRevision {
    /** The highest era: combined numbers have to fit into a {@code long}. */
    public static final long MAX_ERA = (1L << 22) - 1;

    /**
     * Revisions of an era: years of changes at the highest rate of the store, while numbers of the
     * first 8,192 eras are exact in a double.
     */
    private static final int REVISION_BITS = 40;

    private StoreRevision() {}

    /** Combines {@code era} and {@code revision}. */
    public static long of(long era, long revision) {
        return (era << REVISION_BITS) + revision;
    }

    /** Returns the era of a combined number. */
    public static long eraOf(long combined) {
        return combined >>> REVISION_BITS;
    }

    /** Returns whether {@code later} is of a later era than {@code earlier}. */
    public static boolean isLaterEra(long later, long earlier) {
        return eraOf(later) > eraOf(earlier);
    }

    /** Returns whether a call to a store in {@code era} can refer to {@code combined}. */
    static boolean isOfEra(long combined, long era) {
        return combined == 0 || era == 0 || eraOf(combined) == era;
    }

    /** Returns the revision in the store, which is in {@code era}. */
    static long inStore(long combined, long era) {
        return combined == 0 ? 0 : combined - (era << REVISION_BITS);
    }
}
