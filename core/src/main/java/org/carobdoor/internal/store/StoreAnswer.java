package org.carobdoor.internal.store;

import java.util.List;

/** What the store answers to a call. */
public sealed interface StoreAnswer {

    /**
     * Items of a range, in the order of their keys.
     *
     * @param truncated whether more items follow after the last key
     * @param storeRevision the store's revision at the time of the read
     */
    record Page(List<StoreItem> items, boolean truncated, long storeRevision)
            implements StoreAnswer {

        /** Copies the list. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /** The changes after the revision asked for, in their order; none if the wait ended. */
    record Changes(List<StoreChange> changes, long storeRevision) implements StoreAnswer {

        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /** A conditional write took effect. */
    record Written(long revision) implements StoreAnswer {}

    /** A lease was granted or renewed, for this long from the arrival of the call. */
    record LeaseRuns(long lease, long ttlMillis) implements StoreAnswer {}

    /** A condition of a write did not hold; nothing was done. */
    record Conflict() implements StoreAnswer {}

    /** The key or the lease does not exist. */
    record Missing() implements StoreAnswer {}

    /** The history asked for has been discarded. */
    record HistoryGone() implements StoreAnswer {}

    /** The store refused the call and did nothing. */
    record NotDone(int status) implements StoreAnswer {}

    /** The call was not answered, or not readably: it may have been carried out, or still may. */
    record Unknown(String detail) implements StoreAnswer {}
}
