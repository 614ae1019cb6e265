package org.carobdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Result;
import org.carobdoor.clients.catalogue.EntryProblem;
import org.carobdoor.clients.catalogue.EntryText;
import org.carobdoor.clients.catalogue.ParsedEntry;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** Shared implementation of the subcommands that change an entry. */
final class EntryEdits {
    private EntryEdits() {}

    /** Reads and parses an entry from a file; prints the problems and returns empty on failure. */
    static Optional<CatalogueEntry> readEntry(Session session, String file) {
        Optional<String> text = session.read(file);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return switch (EntryText.parse(text.get())) {
            case ParsedEntry.Valid(var entry) -> Optional.of(entry);
            case ParsedEntry.Invalid(var problems) -> {
                printProblems(session, file, problems);
                yield Optional.empty();
            }
        };
    }

    /** Writes an entry if it has the expected revision, and reports the outcome. */
    static ExitCode put(Session session, CatalogueEntry entry, long expected) {
        String text = EntryText.format(entry);
        var result = session.client().putEntry(entry.name(), expected, text);
        return reportOutcome(session, result, text);
    }

    /** Prints the outcome of a change and returns the exit code. */
    static ExitCode reportOutcome(Session session, Result<AdminResponse> result, String proposed) {
        if (result instanceof Result.Ok<AdminResponse>(var response) && response.isConflict()) {
            showConflict(session, response.body(), proposed);
            return ExitCode.CONFLICT;
        }
        return session.print(
                result,
                body ->
                        session.out()
                                .println(
                                        body.path("name").asText()
                                                + " has revision "
                                                + body.path("revision").asLong()));
    }

    private static void showConflict(Session session, JsonNode body, String proposed) {
        if (session.json()) {
            session.printJson(body);
        }
        JsonNode current = body.path("current");
        String state = current.path("removed").asBoolean() ? " (removed)" : "";
        session.message(
                "nothing was changed: %s has revision %d%s, changed by %s at %s, not %d"
                        .formatted(
                                body.path("name").asText(),
                                current.path("revision").asLong(),
                                state,
                                current.path("changedBy").asText("nobody"),
                                current.path("changedAt").asText("-"),
                                body.path("expected").asLong()),
                "entry-conflict");
        if (!proposed.isEmpty()) {
            session.err().println("current version (-) and yours (+):");
            session.err().print(LineDiff.of(current.path("text").asText(), proposed));
        }
    }

    private static void printProblems(Session session, String file, List<EntryProblem> problems) {
        problems.forEach(p -> session.err().println(file + ": " + p));
    }
}
