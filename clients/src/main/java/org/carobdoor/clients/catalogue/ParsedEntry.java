package org.carobdoor.clients.catalogue;

import java.util.List;
import java.util.stream.Collectors;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** The outcome of reading the text of an entry. */
public sealed interface ParsedEntry {

    /** The text is a valid entry. */
    record Valid(CatalogueEntry entry) implements ParsedEntry {}

    /** The text is no valid entry, for all of these reasons. */
    record Invalid(List<EntryProblem> problems) implements ParsedEntry {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }

        @Override
        public String toString() {
            return problems.stream().map(EntryProblem::toString).collect(Collectors.joining("\n"));
        }
    }

    /** Returns the entry, or a failure of kind {@code REJECTED} that names all problems. */
    default Result<CatalogueEntry> toResult() {
        return switch (this) {
            case Valid(var entry) -> Result.ok(entry);
            case Invalid invalid ->
                    Result.err(
                            FailureKind.REJECTED, "catalogue.parse", "local", invalid.toString());
        };
    }
}
