package org.carobdoor.internal.claims;

import java.util.List;
import org.carobdoor.Bytes;

/**
 * A head write that is in progress or in doubt.
 *
 * @param token the token of the write
 * @param expectedVersion the head version on which the write is conditional
 * @param head the head to write
 * @param value the encoded head, identical in every retry
 * @param changes the number of changed records
 * @param entries the messages whose replies depend on the write
 * @param replies the replies to {@code entries}, in the same order
 */
record Batch(
        Id128 token,
        long expectedVersion,
        LogHead head,
        Bytes value,
        int changes,
        List<PendingMessage> entries,
        List<ClaimLogReply> replies) {

    /** Returns the same write without its messages, once they have been answered. */
    Batch withoutEntries() {
        return new Batch(token, expectedVersion, head, value, changes, List.of(), List.of());
    }
}
