package org.carobdoor.message;

import java.util.List;

/**
 * What a node knows of the platform's store, for one that does not reach the store itself.
 *
 * @param configuration the configuration, or an empty list if the asking node has it
 * @param directoryRevision the revision up to which the endpoints are known; 0 if they are left out
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
