package org.carobdoor.clients.catalogue;

import java.util.List;

/**
 * The entries of the catalogue, including removed ones.
 *
 * @param revision the revision of the key-value service, from which a watch can continue
 * @param entries the entries, ordered by name
 * @param unreadableKeys the keys whose values are not valid entries
 */
public record CatalogueList(long revision, List<StoredEntry> entries, List<String> unreadableKeys) {

    /** Creates a list with copies of the arguments. */
    public CatalogueList {
        entries = List.copyOf(entries);
        unreadableKeys = List.copyOf(unreadableKeys);
    }
}
