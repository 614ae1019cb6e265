package org.carobdoor;

/**
 * Describes why an operation failed, at which step it failed, and which peer was involved.
 *
 * @param kind what is known about the effect of the failed operation
 * @param step the step that failed, for example {@code "claim.write"}
 * @param peer the address or identifier of the remote side, or {@code "local"}
 * @param detail human-readable description of the error
 */
public record Failure(FailureKind kind, String step, String peer, String detail) {

    @Override
    public String toString() {
        return step + " at " + peer + ": " + detail + " (" + kind + ")";
    }
}
