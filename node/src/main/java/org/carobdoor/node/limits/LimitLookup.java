package org.carobdoor.node.limits;

import java.util.Optional;
import org.carobdoor.internal.catalogue.EntryLimits;

/** Finds the limits in force of an entry of the catalogue. */
@FunctionalInterface
public interface LimitLookup {

    /** Returns the limits of {@code entry}, or nothing if there is no such entry. */
    Optional<EntryLimits> find(String entry);
}
