package org.carobdoor.clients.catalogue;

import java.util.List;
import java.util.stream.Collectors;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** The result of parsing the text of an entry. */
public sealed interface ParsedEntry {

    /** The text is a valid entry. */
    record Valid(CatalogueEntry entry) implements ParsedEntry {}

    /** The text is not a valid entry. */
    record Invalid(List<EntryProblem> problems) implements ParsedEntry {

        /** Creates a result with a copy of {@code problems}. */
        public Invalid {
            problems = List.copyOf(problems);
        }

        @Override
        public String toString() {
            return problems.stream().map(EntryProblem::toString).collect(Collectors.joining("\n"));
        }
    }

    /** Returns the entry, or a failure of kind {@code REJECTED} that lists all problems. */
    default Result<CatalogueEntry> toResult() {
        return switch (this) {
            case Valid(var entry) -> Result.ok(entry);
            case Invalid invalid ->
                    Result.err(
                            FailureKind.REJECTED, "catalogue.parse", "local", invalid.toString());
        };
    }
}
