package org.carobdoor.node.gateway.control;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.internal.Ipv4Address;
import org.carobdoor.message.NodeStatus;

/**
 * A run of a node, as registered in the store.
 *
 * @param run the id of the run
 * @param address the address for connections of other nodes
 */
record PeerAddress(String run, InetSocketAddress address) {

    /** Encodes the address as the value of the node's key. */
    Bytes encode() {
        return Bytes.utf8(address.getAddress().getHostAddress() + " " + address.getPort());
    }

    /** Decodes the value of the node's key; empty if the value or the run is malformed. */
    static Optional<PeerAddress> decode(String run, Bytes value) {
        if (NodeStatus.nodeOf(run).isEmpty()) {
            return Optional.empty();
        }
        return Ipv4Address.parse(value.toUtf8()).map(a -> new PeerAddress(run, a));
    }
}
