package org.carobdoor.node;

import com.beust.jcommander.Parameter;

/** The command line of the daemon. */
final class DaemonOptions {
    @Parameter(
            names = "--settings",
            description =
                    "The settings file (TOML), see docs/OPERATIONS.md; without it the file that"
                            + " CAROBDOOR_SETTINGS names")
    String settings = System.getenv().getOrDefault(Carobdoord.SETTINGS_VARIABLE, "");

    @Parameter(
            names = "--gateway",
            description = "Forward requests between the platform's callers and endpoints")
    boolean gateway;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    boolean check;

    @Parameter(names = "--help", help = true, description = "Print this help")
    boolean help;
}
