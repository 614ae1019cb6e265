package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.carobdoor.NodeId;

/** The request or response in a {@link Datagram}. */
public sealed interface ProbeBody {

    /**
     * Asks {@code target} for an acknowledgement.
     *
     * @param sequence returned in the acknowledgement
     * @param target the probed node; another node at the same address does not answer
     */
    record Probe(long sequence, NodeId target) implements ProbeBody {}

    /**
     * Answers a probe.
     *
     * @param sequence the sequence number of the probe
     * @param subject the node that is alive; differs from the sender for an indirect probe
     */
    record ProbeAck(long sequence, NodeId subject) implements ProbeBody {}

    /**
     * Asks the receiver to probe {@code target} and to forward the acknowledgement.
     *
     * @param sequence returned in the acknowledgement
     * @param target the node to probe
     * @param address the address of the target
     */
    record IndirectProbe(long sequence, NodeId target, InetSocketAddress address)
            implements ProbeBody {}

    /**
     * Asks for the records of all members in buckets whose digests differ.
     *
     * @param digests the sender's digest of each bucket
     * @param reply whether the receiver must also request the records of the sender
     */
    record MemberSync(List<Integer> digests, boolean reply) implements ProbeBody {

        /** Copies the list. */
        public MemberSync {
            digests = List.copyOf(digests);
        }
    }

    /** Carries only the updates of the datagram. */
    record MemberList() implements ProbeBody {}
}
