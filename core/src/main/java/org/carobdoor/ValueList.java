package org.carobdoor;

import java.util.List;

/**
 * The values below a key prefix, or those of them that have changed.
 *
 * @param revision the service-wide revision that the list reflects; pass it to the next watch
 * @param values the values, ordered by key
 */
public record ValueList(long revision, List<VersionedValue> values) {

    /** Copies the list. */
    public ValueList {
        values = List.copyOf(values);
    }
}
