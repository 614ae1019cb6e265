package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import org.carobdoor.NodeId;

/** An action that the driver of {@link Membership} must perform. */
public sealed interface MembershipAction {

    /** Sends a datagram; it may be lost. */
    record Send(InetSocketAddress to, Datagram datagram) implements MembershipAction {}

    /** Notifies listeners that the record of another node has changed. */
    record Changed(MemberRecord member) implements MembershipAction {}

    /** Compares replicas with {@code peer}, whose digest differs from that of this node. */
    record ReplicaDiffers(NodeId peer) implements MembershipAction {}
}
