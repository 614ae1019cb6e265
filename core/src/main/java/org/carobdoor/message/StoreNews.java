package org.carobdoor.message;

import java.util.List;

/**
 * Changes in the platform's store, sent by a node that watches it to a node that does not.
 *
 * @param era the era of the store; its revisions start anew in each era
 * @param prefix the prefix of the watched keys
 * @param afterRevision the revision after which {@code items} has all changes; 0 if it has all
 *     items
 * @param revision the revision up to which the sender is complete
 * @param items the changed items; deleted ones are marked
 * @param ageMillis the time since the last reply of the store to the sender, in milliseconds
 * @param sentNanos when the message was made, on the steady clock of the sender; 0 if not stated
 */
public record StoreNews(
        long era,
        String prefix,
        long afterRevision,
        long revision,
        List<ReplicaItem> items,
        long ageMillis,
        long sentNanos)
        implements NodeMessage {
    /** Copies the list. */
    public StoreNews {
        items = List.copyOf(items);
    }

    /** Returns a copy that states when it was made. */
    public StoreNews sentAt(long nanos) {
        return new StoreNews(era, prefix, afterRevision, revision, items, ageMillis, nanos);
    }
}
