package org.carobdoor.node.gateway.control;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.carobdoor.Bytes;
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
        String[] parts = value.toUtf8().split(" ", -1);
        if (NodeStatus.nodeOf(run).isEmpty()
                || parts.length != 2
                || !parts[0].matches("[0-9.]{7,15}")
                || !parts[1].matches("\\d{1,5}")) {
            return Optional.empty();
        }
        return Optional.of(
                new PeerAddress(run, new InetSocketAddress(parts[0], Integer.parseInt(parts[1]))));
    }
}
