package org.carobdoor;

/** Whether a request was executed at an endpoint, as reported to the caller. */
public enum RunState {
    /** No byte of the request can have reached an endpoint. */
    NOT_RUN("not_run"),
    /** An endpoint answered the request. */
    RAN("ran"),
    /** The request was sent, or may have been sent, and its outcome is not known. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /** Returns the value that problem documents carry in {@code run_state}. */
    public String label() {
        return label;
    }
}
