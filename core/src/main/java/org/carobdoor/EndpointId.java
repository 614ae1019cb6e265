package org.carobdoor;

import org.carobdoor.internal.Preconditions;

/**
 * Identifies an endpoint by the identifier that the platform assigned to its VM.
 *
 * @param value never reused by the platform after the VM is gone
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Validates that the identifier is not blank. */
    public EndpointId {
        Preconditions.checkNotBlank(value, "EndpointId");
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
