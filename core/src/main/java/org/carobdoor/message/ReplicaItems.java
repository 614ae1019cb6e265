package org.carobdoor.message;

import java.util.List;

/**
 * Carries items of the versioned replica: a push of changes, or the answer to a {@link
 * ReplicaPull}.
 *
 * @param items the items, in no particular order
 * @param relay whether the receiver passes changed items on to the nodes of its availability zone
 */
public record ReplicaItems(List<ReplicaItem> items, boolean relay) implements ReplicaMessage {

    /** Copies the list. */
    public ReplicaItems {
        items = List.copyOf(items);
    }
}
