package org.carobdoor.cli;

/** The exit codes of the command. */
enum ExitCode {
    OK(0),
    /** The node refused the request, or the input is not valid. */
    FAILURE(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The entry has another revision than expected. */
    CONFLICT(3),
    /** The node did not answer. */
    NOT_REACHABLE(4);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}
