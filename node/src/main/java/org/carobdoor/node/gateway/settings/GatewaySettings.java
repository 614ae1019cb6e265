package org.carobdoor.node.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;

/**
 * The checked settings of a daemon on the users' platform.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where the platform asks whether the node takes new connections
 * @param peer where other nodes connect
 * @param metrics where metrics are served
 * @param store the platform's store
 * @param cloud the platform's cloud API, if the node has duties there
 * @param clusterKeys keys that nodes prove to each other; the first one is used for sending
 * @param bounds the platform's bounds
 * @param logLevel the level of the log
 */
public record GatewaySettings(
        String name,
        AvailabilityZone zone,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peer,
        InetSocketAddress metrics,
        InetSocketAddress store,
        Optional<InetSocketAddress> cloud,
        List<String> clusterKeys,
        GatewayBounds bounds,
        String logLevel) {

    /** Copies the list of keys. */
    public GatewaySettings {
        clusterKeys = List.copyOf(clusterKeys);
    }

    @Override
    public String toString() {
        // Leaves out the keys, so that they cannot reach a log.
        return "GatewaySettings[" + name + " in " + zone + ", callers " + callers + "]";
    }
}
