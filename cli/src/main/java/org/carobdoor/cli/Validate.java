package org.carobdoor.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Validates entry files without a connection to a node or the platform. */
@Parameters(commandDescription = "Check TOML files of entries; needs no node")
final class Validate extends Command {
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    Validate(CommonOptions common) {
        super(common);
    }

    @Override
    ExitCode run(Session session) {
        boolean valid = true;
        for (String file : files) {
            if (EntryEdits.readEntry(session, file).isPresent()) {
                session.out().println(file + ": valid");
            } else {
                valid = false;
            }
        }
        return valid ? ExitCode.OK : ExitCode.FAILURE;
    }
}
