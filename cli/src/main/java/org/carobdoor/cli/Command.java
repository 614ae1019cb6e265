package org.carobdoor.cli;

import com.beust.jcommander.ParametersDelegate;

/** A subcommand, with the options shared by all subcommands. */
abstract class Command {
    @ParametersDelegate final CommonOptions common;

    Command(CommonOptions common) {
        this.common = common;
    }

    /** Runs the subcommand and returns the exit code. */
    abstract ExitCode run(Session session);
}
