package org.carobdoor.internal.claims;

import java.util.List;
import org.carobdoor.Bytes;

/**
 * A write of the head that has been decided and is not known to be written or to have failed.
 *
 * @param token the token of the write
 * @param expectedVersion the version that the head must have
 * @param head what is written
 * @param value its encoding, the same for every repetition
 * @param changes the number of changed records
 * @param entries the messages whose replies rest on the write
 * @param replies the reply to each of them, in the same order
 */
record Batch(
        Id128 token,
        long expectedVersion,
        LogHead head,
        Bytes value,
        int changes,
        List<Pending> entries,
        List<ClaimLogReply> replies) {

    /** Returns the same write after its messages were answered otherwise. */
    Batch withoutEntries() {
        return new Batch(token, expectedVersion, head, value, changes, List.of(), List.of());
    }
}
