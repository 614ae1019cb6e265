package org.carobdoor.node.gateway.control;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.message.NodeStatus;

/**
 * A run of a node as it is listed in the store.
 *
 * @param run identifies the run
 * @param address where it accepts connections of other nodes
 */
record PeerAddress(String run, InetSocketAddress address) {

    /** Returns the value of the node's key. */
    Bytes toValue() {
        return Bytes.utf8(address.getAddress().getHostAddress() + " " + address.getPort());
    }

    /** Reads the value of the node's key; empty if it or the key is malformed. */
    static Optional<PeerAddress> fromValue(String run, Bytes value) {
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
