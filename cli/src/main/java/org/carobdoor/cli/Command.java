package org.carobdoor.cli;

import com.beust.jcommander.ParametersDelegate;

/** A subcommand with the options that all of them share. */
abstract class Command {
    @ParametersDelegate final CommonOptions common;

    Command(CommonOptions common) {
        this.common = common;
    }

    /** Runs the subcommand and returns the exit code. */
    abstract ExitCode run(Session session);
}
