package org.carobdoor.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import org.carobdoor.clients.catalogue.EntryText;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** The subcommands of {@code carobdoor entry}. */
final class EntryCommands {
    private static final String NAME = "NAME";
    private static final String FILE = "FILE";

    private EntryCommands() {}

    /** Creates an entry. */
    @Parameters(commandDescription = "Create an entry from a TOML file")
    static final class Create extends Command {
        @Parameter(description = FILE, required = true)
        private String file = "";

        Create(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return EntryEdits.readEntry(session, file)
                    .map(entry -> EntryEdits.put(session, entry, 0))
                    .orElse(ExitCode.FAILURE);
        }
    }

    /** Replaces the text of an entry. */
    @Parameters(commandDescription = "Change an entry to the contents of a TOML file")
    static final class Edit extends Command {
        @Parameter(description = FILE, required = true)
        private String file = "";

        @Parameter(
                names = "--expected",
                description = "Revision that the edit is based on, default: the file's revision")
        private long expected;

        Edit(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return EntryEdits.readEntry(session, file)
                    .map(entry -> put(session, entry))
                    .orElse(ExitCode.FAILURE);
        }

        private ExitCode put(Session session, CatalogueEntry entry) {
            long expectedRevision = expected > 0 ? expected : entry.revision();
            if (expectedRevision == 0) {
                session.message(
                        file + " has no revision and --expected is missing", "entry-revision");
                return ExitCode.USAGE;
            }
            return EntryEdits.put(session, entry, expectedRevision);
        }
    }

    /** Prints the text of an entry. */
    @Parameters(commandDescription = "Print an entry; the output can be edited and given to edit")
    static final class Show extends Command {
        @Parameter(description = NAME, required = true)
        private String name = "";

        Show(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.print(
                    session.client().get("admin/catalogue/" + name),
                    body -> {
                        if (body.path("removed").asBoolean()) {
                            session.message(name + " is removed", "no-such-entry");
                        }
                        session.out().print(body.path("text").asText());
                    });
        }
    }

    /** Compares an entry with a file. */
    @Parameters(commandDescription = "Compare an entry (-) with a TOML file (+)")
    static final class Diff extends Command {
        @Parameter(description = FILE, required = true)
        private String file = "";

        Diff(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return EntryEdits.readEntry(session, file)
                    .map(entry -> compare(session, entry))
                    .orElse(ExitCode.FAILURE);
        }

        private ExitCode compare(Session session, CatalogueEntry entry) {
            var result = session.client().get("admin/catalogue/" + entry.name());
            return session.whenSuccessful(
                    result,
                    body -> {
                        String text = body.path("text").asText();
                        session.out().print(LineDiff.of(text, EntryText.format(entry)));
                        return ExitCode.OK;
                    });
        }
    }

    /** Lists entries. */
    @Parameters(commandDescription = "List the entries")
    static final class ListAll extends Command {
        @Parameter(names = "--removed", description = "List removed entries too")
        private boolean removed;

        ListAll(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.print(
                    session.client().get("admin/catalogue"),
                    body -> session.out().print(table(body)));
        }

        private TextTable table(JsonNode body) {
            var table = new TextTable("NAME", "REVISION", "CHANGED BY", "CHANGED AT", "STATE");
            for (JsonNode e : body.path("entries")) {
                boolean isRemoved = e.path("removed").asBoolean();
                if (!isRemoved || removed) {
                    table.addRow(
                            e.path("name").asText(),
                            e.path("revision").asLong(),
                            e.path("changedBy").asText(),
                            e.path("changedAt").asText(),
                            isRemoved ? "removed" : "in force");
                }
            }
            return table;
        }
    }

    /** Lists the latest changes of an entry. */
    @Parameters(commandDescription = "List the latest changes of an entry")
    static final class History extends Command {
        @Parameter(description = NAME, required = true)
        private String name = "";

        @Parameter(names = "--text", description = "Show the diff of each change")
        private boolean text;

        History(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.print(
                    session.client().get("admin/catalogue/" + name + "/history"),
                    body -> print(session, body.path("changes")));
        }

        private void print(Session session, JsonNode changes) {
            var table = new TextTable("REVISION", "CHANGED BY", "CHANGED AT", "CHANGE", "DIGEST");
            String previousText = "";
            for (JsonNode c : changes) {
                table.addRow(
                        c.path("revision").asLong(),
                        c.path("changedBy").asText(),
                        c.path("changedAt").asText(),
                        c.path("removed").asBoolean() ? "removed" : "written",
                        c.path("digest").asText());
            }
            session.out().print(table);
            for (JsonNode c : changes) {
                if (text) {
                    session.out().println("\nrevision " + c.path("revision").asLong());
                    session.out().print(LineDiff.of(previousText, c.path("text").asText()));
                    previousText = c.path("text").asText();
                }
            }
        }
    }

    /** Removes an entry. */
    @Parameters(commandDescription = "Remove an entry")
    static final class Remove extends Command {
        @Parameter(description = NAME, required = true)
        private String name = "";

        @Parameter(
                names = "--expected",
                description = "Revision that is to be removed",
                required = true)
        private long expected;

        Remove(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return EntryEdits.reportOutcome(
                    session, session.client().deleteEntry(name, expected), "");
        }
    }
}
