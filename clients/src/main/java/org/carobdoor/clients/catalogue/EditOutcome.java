package org.carobdoor.clients.catalogue;

import java.util.List;
import java.util.Optional;
import org.carobdoor.Failure;

/** The outcome of an edit of the catalogue. */
public sealed interface EditOutcome {

    /** The edit was written. */
    record Applied(StoredEntry entry) implements EditOutcome {}

    /**
     * Nothing was written: the entry has another revision than the editor expected.
     *
     * @param expected the revision that the editor expected
     * @param current the entry as it is, if there is or was one
     * @param proposed the text that the editor wanted to write, empty for a removal
     */
    record Conflict(long expected, Optional<StoredEntry> current, String proposed)
            implements EditOutcome {}

    /** Nothing was written: the text is no valid entry. */
    record Invalid(List<EntryProblem> problems) implements EditOutcome {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The edit failed; a failure of kind {@code UNKNOWN} may have been or may be written. */
    record Failed(Failure failure) implements EditOutcome {}
}
