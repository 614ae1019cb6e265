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

/** Converts between stored catalogue entries and replica items, and applies items to a view. */
public final class CatalogueReplicaItems {
    /** The prefix of the replica keys that hold catalogue entries. */
    public static final String KEY_PREFIX = ReplicaService.ENTRY_PREFIX;

    private CatalogueReplicaItems() {}

    /** Returns the replica item for a value of the key-value store. */
    public static ReplicaItem toItem(VersionedValue value) {
        String name = value.key().substring(CatalogueStore.ENTRY_PREFIX.length());
        // A value that cannot be decoded gets revision 0, so that any valid entry replaces it.
        return StoredEntry.decode(value.value())
                .map(e -> new ReplicaItem(KEY_PREFIX + name, e.revision(), e.removed(), e.encode()))
                .orElse(new ReplicaItem(KEY_PREFIX + name, 0, false, value.value()));
    }

    /** Returns the replica item for an entry written by this node. */
    public static ReplicaItem toItem(StoredEntry entry) {
        return new ReplicaItem(
                KEY_PREFIX + entry.name(), entry.revision(), entry.removed(), entry.encode());
    }

    /** Applies changed entries to {@code view}. */
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
