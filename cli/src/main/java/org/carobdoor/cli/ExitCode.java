package org.carobdoor.cli;

/** The exit codes of the command-line tool. */
enum ExitCode {
    OK(0),
    /** The node rejected the request, or the input is invalid. */
    FAILURE(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The entry does not have the expected revision. */
    CONFLICT(3),
    /** The node could not be reached or did not respond. */
    NOT_REACHABLE(4);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}
