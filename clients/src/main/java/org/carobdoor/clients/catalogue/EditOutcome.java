package org.carobdoor.clients.catalogue;

import java.util.List;
import java.util.Optional;
import org.carobdoor.Failure;

/** The outcome of a catalogue edit. */
public sealed interface EditOutcome {

    /** The edit was written. */
    record Applied(StoredEntry entry) implements EditOutcome {}

    /**
     * Nothing was written, because the entry does not have the expected revision.
     *
     * @param expected the expected revision
     * @param current the current entry or tombstone, if any
     * @param proposed the text of the edit, empty for a removal
     */
    record Conflict(long expected, Optional<StoredEntry> current, String proposed)
            implements EditOutcome {}

    /** Nothing was written, because the text is not a valid entry. */
    record Invalid(List<EntryProblem> problems) implements EditOutcome {

        /** Creates an outcome with a copy of {@code problems}. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The edit failed; if the kind is {@code UNKNOWN}, it may have been or may still be written.
     */
    record Failed(Failure failure) implements EditOutcome {}
}
