package org.carobdoor;

import java.net.InetSocketAddress;

/**
 * The state of a node as seen by another node.
 *
 * @param id the identifier of the node
 * @param zone the availability zone of its VM
 * @param peerAddress the IP address and port of its TCP transport
 * @param state the assumed state of the node
 * @param platformReachable whether the node last reported that it can reach the key-value service
 */
public record Member(
        NodeId id,
        AvailabilityZone zone,
        InetSocketAddress peerAddress,
        MemberState state,
        boolean platformReachable) {}
