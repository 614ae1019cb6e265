package org.carobdoor.node.catalogue;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;

/**
 * Finds the catalogue entry of a request among the entries in force at this node.
 *
 * <pre>{@code
 * Optional<CatalogueEntry> entry = catalogue.find("lot-drafts");
 * }</pre>
 */
public final class CatalogueView {
    private final ConcurrentMap<String, CatalogueEntry> entries = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> removedAt = new ConcurrentHashMap<>();

    /** Puts {@code entry} in force unless the same or a higher revision of it already was. */
    public boolean put(CatalogueEntry entry) {
        if (removedAt.getOrDefault(entry.name(), 0L) >= entry.revision()) {
            return false;
        }
        CatalogueEntry now =
                entries.merge(entry.name(), entry, (a, b) -> b.revision() > a.revision() ? b : a);
        return now == entry;
    }

    /** Takes the entry {@code name} out of force by its removal at {@code revision}. */
    public void remove(String name, long revision) {
        removedAt.merge(name, revision, Math::max);
        entries.computeIfPresent(name, (k, e) -> e.revision() > revision ? e : null);
    }

    /** Returns the entry {@code name}, if it is in force. */
    public Optional<CatalogueEntry> find(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /**
     * Returns the entry of a plain service whose path prefix is the longest that fits {@code path}.
     */
    public Optional<CatalogueEntry> findService(String path) {
        return entries.values().stream()
                .filter(e -> e.kind() == EntryKind.SERVICE && hasPrefix(path, e.pathPrefix()))
                .max(Comparator.comparingInt(e -> e.pathPrefix().length()));
    }

    /** Returns all entries in force, ordered by name. */
    public List<CatalogueEntry> all() {
        return entries.values().stream()
                .sorted(Comparator.comparing(CatalogueEntry::name))
                .toList();
    }

    private static boolean hasPrefix(String path, String prefix) {
        // Whole segments only: "/bidsandmore" is not below "bids".
        return path.equals("/" + prefix) || path.startsWith("/" + prefix + "/");
    }
}
