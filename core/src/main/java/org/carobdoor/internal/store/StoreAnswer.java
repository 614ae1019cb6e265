package org.carobdoor.internal.store;

import java.util.List;

/** The response of the store to a call. */
public sealed interface StoreAnswer {

    /**
     * Items of a range, ordered by key.
     *
     * @param truncated whether there are more items after the last key
     * @param storeRevision the store revision of the read
     */
    record Page(List<StoreItem> items, boolean truncated, long storeRevision)
            implements StoreAnswer {

        /** Makes a defensive copy of the list. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /** The changes after the requested revision, in order; empty if the wait timed out. */
    record Changes(List<StoreChange> changes, long storeRevision) implements StoreAnswer {

        /** Makes a defensive copy of the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /** A conditional write took effect. */
    record Written(long revision) implements StoreAnswer {}

    /** A lease was granted or renewed for {@code ttlMillis} from the arrival of the call. */
    record LeaseGranted(long lease, long ttlMillis) implements StoreAnswer {}

    /** A condition of a write was not met; nothing was written. */
    record Conflict() implements StoreAnswer {}

    /** The key or the lease does not exist. */
    record Missing() implements StoreAnswer {}

    /** The requested history has been discarded by the store. */
    record HistoryGone() implements StoreAnswer {}

    /**
     * The store rejected the call, or did not receive it, and did nothing.
     *
     * @param detail the status of the reply, or why the call was not sent
     */
    record NotDone(String detail) implements StoreAnswer {}

    /** There was no valid response: the call may have taken effect, or may still do so. */
    record Unknown(String detail) implements StoreAnswer {}
}
