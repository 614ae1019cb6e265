package org.carobdoor.internal.catalogue;

import java.util.Set;
import org.carobdoor.ClientAccount;

/**
 * One entry of the catalogue.
 *
 * @param name the name, which callers pass as {@code model}
 * @param owner the client account that owns the entry
 * @param kind what the entry serves
 * @param priority the priority class of the entry, from 1 (highest) to 4
 * @param models the models of an entry of kind {@link EntryKind#MODEL}, any of which may serve it
 * @param service the service of an entry of kind {@link EntryKind#SERVICE}, else empty
 * @param pathPrefix the path prefix of an entry of kind {@link EntryKind#SERVICE}, else empty
 * @param repeatable whether it is safe to run a request more than once
 * @param datedKeys whether idempotency keys must carry their creation time
 * @param limits what the entry may consume
 * @param objective the service-level objective
 * @param revision incremented with each change of the entry
 */
public record CatalogueEntry(
        String name,
        ClientAccount owner,
        EntryKind kind,
        int priority,
        Set<String> models,
        String service,
        String pathPrefix,
        boolean repeatable,
        boolean datedKeys,
        EntryLimits limits,
        EntryObjective objective,
        long revision) {

    /** The highest priority class. */
    public static final int HIGHEST_PRIORITY = 1;

    /** The lowest priority class, which is shed first. */
    public static final int LOWEST_PRIORITY = 4;

    /** Copies the set of models. */
    public CatalogueEntry {
        models = Set.copyOf(models);
    }
}
