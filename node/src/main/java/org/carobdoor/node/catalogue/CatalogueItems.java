package org.carobdoor.node.catalogue;

import java.util.List;
import org.carobdoor.VersionedValue;
import org.carobdoor.clients.catalogue.CatalogueStore;
import org.carobdoor.clients.catalogue.EntryText;
import org.carobdoor.clients.catalogue.ParsedEntry;
import org.carobdoor.clients.catalogue.StoredEntry;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.node.replica.ReplicaService;

/** Converts between stored entries, replica items, and entries in force. */
public final class CatalogueItems {
    /** The prefix of the replica keys of catalogue entries. */
    public static final String KEY_PREFIX = ReplicaService.ENTRY_PREFIX;

    private CatalogueItems() {}

    /** Returns the replica item of a value of the key-value service. */
    public static ReplicaItem toItem(VersionedValue value) {
        String name = value.key().substring(CatalogueStore.ENTRY_PREFIX.length());
        // A value that is no entry gets revision 0, so that any entry replaces it.
        return StoredEntry.decode(value.value())
                .map(e -> new ReplicaItem(KEY_PREFIX + name, e.revision(), e.removed(), e.encode()))
                .orElse(new ReplicaItem(KEY_PREFIX + name, 0, false, value.value()));
    }

    /** Returns the replica item of an entry that this node has just written. */
    public static ReplicaItem toItem(StoredEntry entry) {
        return new ReplicaItem(
                KEY_PREFIX + entry.name(), entry.revision(), entry.removed(), entry.encode());
    }

    /** Puts changed entries in force in {@code view}. */
    public static void apply(List<ReplicaItem> items, CatalogueView view) {
        for (ReplicaItem item : items) {
            if (item.key().startsWith(KEY_PREFIX)) {
                StoredEntry.decode(item.value()).ifPresent(e -> apply(e, view));
            }
        }
    }

    private static void apply(StoredEntry stored, CatalogueView view) {
        if (stored.removed()) {
            view.remove(stored.name(), stored.revision());
        } else if (EntryText.parse(stored.text()) instanceof ParsedEntry.Valid(var entry)) {
            CatalogueEntry revised = EntryText.withRevision(entry, stored.revision());
            view.put(revised);
        }
    }
}
