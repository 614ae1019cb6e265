package org.carobdoor.message;

import java.util.List;

/**
 * Requests the items of all buckets whose digests differ from those of the receiver.
 *
 * @param digests digests of the buckets of the sender, in bucket order
 */
public record ReplicaPull(List<Long> digests) implements ReplicaMessage {

    /** Copies the list. */
    public ReplicaPull {
        digests = List.copyOf(digests);
    }
}
