package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import org.carobdoor.NodeId;

/** What the driver of {@link Membership} has to do. */
public sealed interface MembershipAction {

    /** Send a datagram; it may be lost. */
    record Send(InetSocketAddress to, Datagram datagram) implements MembershipAction {}

    /** Tell listeners that the record of another node has changed. */
    record Changed(MemberRecord member) implements MembershipAction {}

    /** Compare replicas with {@code peer}, whose digest differs from this node's. */
    record ReplicaDiffers(NodeId peer) implements MembershipAction {}
}
