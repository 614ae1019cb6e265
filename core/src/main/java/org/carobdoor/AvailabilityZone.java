package org.carobdoor;

import org.carobdoor.internal.Preconditions;

/**
 * Identifies an availability zone.
 *
 * @param value the platform's name of the zone
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Validates that the identifier is not blank. */
    public AvailabilityZone {
        Preconditions.checkNotBlank(value, "AvailabilityZone");
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
