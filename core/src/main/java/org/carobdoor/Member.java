package org.carobdoor;

import java.net.InetSocketAddress;

/**
 * A node as another node sees it.
 *
 * @param id the identifier of the node
 * @param zone the availability zone of its VM
 * @param peerAddress the IP address and port of its TCP transport
 * @param state what is believed about it
 * @param platformReachable whether it last reported that it reaches the key-value service
 */
public record Member(
        NodeId id,
        AvailabilityZone zone,
        InetSocketAddress peerAddress,
        MemberState state,
        boolean platformReachable) {}
