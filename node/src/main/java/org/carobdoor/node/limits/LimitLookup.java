package org.carobdoor.node.limits;

import java.util.Optional;
import org.carobdoor.internal.catalogue.EntryLimits;

/** Looks up the effective limits of a catalogue entry. */
@FunctionalInterface
public interface LimitLookup {

    /** Returns the limits of {@code entry}, or nothing if there is no such entry. */
    Optional<EntryLimits> find(String entry);
}
