package org.carobdoor.message;

import java.util.List;

/**
 * Asks a peer for the items in buckets whose digests differ.
 *
 * @param digests the sender's digest of each bucket, in bucket order
 */
public record ReplicaPull(List<Long> digests) implements ReplicaMessage {

    /** Copies the list. */
    public ReplicaPull {
        digests = List.copyOf(digests);
    }
}
