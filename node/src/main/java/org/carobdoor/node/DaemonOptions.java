package org.carobdoor.node;

import com.beust.jcommander.Parameter;

/** The command-line options of the daemon. */
final class DaemonOptions {
    /** The option that selects the gateway. */
    static final String GATEWAY = "--gateway";

    @Parameter(
            names = "--settings",
            description =
                    "Settings file (TOML), see docs/OPERATIONS.md; default: the value of the"
                            + " environment variable CAROBDOOR_SETTINGS")
    String settings = System.getenv().getOrDefault(Carobdoord.SETTINGS_VARIABLE, "");

    @Parameter(
            names = GATEWAY,
            description = "Run as a gateway between the callers and endpoints of the platform")
    boolean gateway;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    boolean check;

    @Parameter(names = "--help", help = true, description = "Print this help")
    boolean help;
}
