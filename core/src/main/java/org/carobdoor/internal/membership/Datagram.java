package org.carobdoor.internal.membership;

import java.util.List;

/**
 * One datagram of the membership protocol.
 *
 * @param from the sender's record of itself
 * @param updates records of other nodes, at most {@link #MAX_UPDATES}
 * @param memberDigest the sender's digest of its live members
 * @param replicaDigest the sender's digest of its versioned replica
 * @param body the request or response
 */
public record Datagram(
        MemberRecord from,
        List<MemberRecord> updates,
        long memberDigest,
        long replicaDigest,
        ProbeBody body) {

    /** The maximum number of updates; keeps a datagram below the usual MTU of 1,500 bytes. */
    public static final int MAX_UPDATES = 8;

    /** Copies the list. */
    public Datagram {
        updates = List.copyOf(updates);
    }
}
