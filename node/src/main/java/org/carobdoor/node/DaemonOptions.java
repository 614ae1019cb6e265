package org.carobdoor.node;

import com.beust.jcommander.Parameter;

/** The command line of the daemon. */
final class DaemonOptions {
    @Parameter(
            names = "--settings",
            required = true,
            description = "The settings file (TOML), see docs/OPERATIONS.md")
    String settings = "";

    @Parameter(names = "--check", description = "Check the settings file and exit")
    boolean check;

    @Parameter(names = "--help", help = true, description = "Print this help")
    boolean help;
}
