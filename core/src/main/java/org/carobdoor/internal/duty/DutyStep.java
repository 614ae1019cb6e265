package org.carobdoor.internal.duty;

/** What the node does next towards holding the duties. */
public sealed interface DutyStep {

    /** Nothing. */
    record Wait() implements DutyStep {}

    /** Ask the store for a lease. */
    record TakeLease() implements DutyStep {}

    /**
     * Write the holder's key under the lease, if the key does not exist.
     *
     * @param lease the lease
     * @param token the value to write, unique to this attempt
     */
    record WriteHolder(long lease, String token) implements DutyStep {}

    /**
     * Renew the lease.
     *
     * @param lease the lease
     */
    record Renew(long lease) implements DutyStep {}
}
