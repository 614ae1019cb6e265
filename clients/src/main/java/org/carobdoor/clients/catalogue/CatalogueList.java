package org.carobdoor.clients.catalogue;

import java.util.List;

/**
 * The entries of the catalogue, removed ones included.
 *
 * @param revision the revision of the key-value service; pass it to a watch
 * @param entries the entries, ordered by name
 * @param unreadableKeys the keys whose values are not entries
 */
public record CatalogueList(long revision, List<StoredEntry> entries, List<String> unreadableKeys) {

    /** Copies the lists. */
    public CatalogueList {
        entries = List.copyOf(entries);
        unreadableKeys = List.copyOf(unreadableKeys);
    }
}
