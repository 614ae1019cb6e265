package org.carobdoor;

import org.carobdoor.internal.Preconditions;

/**
 * Identifies one process instance of the daemon on an entry VM.
 *
 * @param value unique among all nodes; a restarted daemon gets a new identifier
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /** Validates that the identifier is not blank. */
    public NodeId {
        Preconditions.checkNotBlank(value, "NodeId");
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
