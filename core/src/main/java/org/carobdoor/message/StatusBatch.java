package org.carobdoor.message;

import java.util.List;

/**
 * Statuses of several nodes, forwarded by a relay in the order in which it received them.
 *
 * @param statuses the statuses, whose times include the time for which the relay held them
 */
public record StatusBatch(List<NodeStatus> statuses) implements NodeMessage {

    /** Copies the list. */
    public StatusBatch {
        statuses = List.copyOf(statuses);
    }
}
