package org.carobdoor;

import org.carobdoor.internal.Preconditions;

/**
 * Identifies an endpoint, by the platform's identifier of its VM.
 *
 * @param value never used again by the platform after the VM is gone
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Checks that the identifier is not blank. */
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
