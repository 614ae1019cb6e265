package org.carobdoor.node.catalogue;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;

/**
 * The catalogue entries that are active at this node. Updates may arrive out of order; the highest
 * revision of an entry wins.
 *
 * <pre>{@code
 * Optional<CatalogueEntry> entry = catalogue.find("lot-drafts");
 * }</pre>
 */
public final class CatalogueView {
    private final ConcurrentMap<String, CatalogueEntry> entries = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> removalRevisions = new ConcurrentHashMap<>();

    /**
     * Activates {@code entry} unless the same or a higher revision is already known; returns
     * whether it was activated.
     */
    public boolean put(CatalogueEntry entry) {
        if (removalRevisions.getOrDefault(entry.name(), 0L) >= entry.revision()) {
            return false;
        }
        CatalogueEntry current =
                entries.merge(entry.name(), entry, (a, b) -> b.revision() > a.revision() ? b : a);
        return current == entry;
    }

    /** Deactivates the entry {@code name}, which was removed at {@code revision}. */
    public void remove(String name, long revision) {
        removalRevisions.merge(name, revision, Math::max);
        entries.computeIfPresent(name, (k, e) -> e.revision() > revision ? e : null);
    }

    /** Returns the entry {@code name} if it is active. */
    public Optional<CatalogueEntry> find(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /** Returns the service entry with the longest path prefix that matches {@code path}. */
    public Optional<CatalogueEntry> findService(String path) {
        return entries.values().stream()
                .filter(e -> e.kind() == EntryKind.SERVICE && hasPrefix(path, e.pathPrefix()))
                .max(Comparator.comparingInt(e -> e.pathPrefix().length()));
    }

    /** Returns all active entries, ordered by name. */
    public List<CatalogueEntry> all() {
        return entries.values().stream()
                .sorted(Comparator.comparing(CatalogueEntry::name))
                .toList();
    }

    private static boolean hasPrefix(String path, String prefix) {
        // Matches whole segments only: "bids" is not a prefix of "/bidsandmore".
        return path.equals("/" + prefix) || path.startsWith("/" + prefix + "/");
    }
}
