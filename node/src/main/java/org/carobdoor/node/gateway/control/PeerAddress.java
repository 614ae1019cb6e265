package org.carobdoor.node.gateway.control;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.internal.Ipv4Address;
import org.carobdoor.message.NodeStatus;
import org.jspecify.annotations.Nullable;

/**
 * A run of a node, as registered in the store.
 *
 * @param run the id of the run
 * @param address the address for connections of other nodes
 * @param zone the availability zone; null if the entry does not name it
 */
record PeerAddress(String run, InetSocketAddress address, @Nullable AvailabilityZone zone) {
    private static final char SEPARATOR = ' ';

    /** Encodes the address and the zone as the value of the node's key. */
    Bytes encode() {
        String text = address.getAddress().getHostAddress() + SEPARATOR + address.getPort();
        return Bytes.utf8(zone == null ? text : text + SEPARATOR + zone.value());
    }

    /** Decodes the value of the node's key; empty if the value or the run is malformed. */
    static Optional<PeerAddress> decode(String run, Bytes value) {
        if (NodeStatus.nodeOf(run).isEmpty()) {
            return Optional.empty();
        }
        String text = value.toUtf8();
        int zoneStart = text.indexOf(SEPARATOR, text.indexOf(SEPARATOR) + 1);
        String zone = zoneStart < 0 ? "" : text.substring(zoneStart + 1);
        return Ipv4Address.parse(zoneStart < 0 ? text : text.substring(0, zoneStart))
                .map(
                        a ->
                                new PeerAddress(
                                        run,
                                        a,
                                        zone.isBlank() ? null : new AvailabilityZone(zone)));
    }
}
