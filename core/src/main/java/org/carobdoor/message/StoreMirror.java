package org.carobdoor.message;

import java.util.List;

/**
 * A copy of the platform store as known to the sender, for a node that cannot reach the store
 * itself.
 *
 * @param configuration the configuration, or an empty list if the requesting node already has it
 * @param directoryRevision the store revision of {@code endpoints}; 0 if they are omitted
 * @param endpoints the entries of all endpoints at that revision
 */
public record StoreMirror(
        List<ReplicaItem> configuration, long directoryRevision, List<ReplicaItem> endpoints)
        implements NodeMessage {

    /** Copies the lists. */
    public StoreMirror {
        configuration = List.copyOf(configuration);
        endpoints = List.copyOf(endpoints);
    }
}
