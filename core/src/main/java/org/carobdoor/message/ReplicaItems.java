package org.carobdoor.message;

import java.util.List;

/**
 * Carries items of the versioned replica, either as a push of changes or as the reply to a {@link
 * ReplicaPull}.
 *
 * @param items the items, in no particular order
 * @param relay whether the receiver forwards changed items to the nodes of its availability zone
 */
public record ReplicaItems(List<ReplicaItem> items, boolean relay) implements ReplicaMessage {

    /** Copies the list. */
    public ReplicaItems {
        items = List.copyOf(items);
    }
}
