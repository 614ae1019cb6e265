package org.carobdoor.internal.duty;

/** The next step of a node to acquire or keep the cluster duties. */
public sealed interface DutyStep {

    /** Nothing to do. */
    record Wait() implements DutyStep {}

    /** Request a lease from the store. */
    record TakeLease() implements DutyStep {}

    /**
     * Write the holder's key with the lease attached, on condition that no other node has.
     *
     * @param lease the lease
     * @param token the value to write, unique per attempt
     * @param expectedRevision the revision of the key, which a holder of a former era wrote; 0 if
     *     the key must not exist
     */
    record WriteHolder(long lease, String token, long expectedRevision) implements DutyStep {}

    /**
     * Renew the lease.
     *
     * @param lease the lease
     */
    record Renew(long lease) implements DutyStep {}
}
