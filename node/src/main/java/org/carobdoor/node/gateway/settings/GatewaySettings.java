package org.carobdoor.node.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;

/**
 * The validated settings of a daemon on the users' platform.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param linkMbps the bandwidth of its link in Mbit/s; 0 if it is not known
 * @param firstStart whether the whole cluster starts for the first time
 * @param callers the listen address for callers
 * @param readiness the listen address for the platform's readiness checks
 * @param peer the listen address for other nodes
 * @param metrics the listen address for metrics
 * @param store the address of the platform's store
 * @param cloud the address of the platform's cloud API; empty if the node has no duties
 * @param clusterKeys shared keys with which nodes authenticate each other; the first one is used
 *     for sending
 * @param bounds the limits that the platform sets
 * @param learnedPlacement whether requests are placed by the learned capacity of endpoints; empty
 *     to decide by the number of nodes
 * @param logLevel the log level
 */
public record GatewaySettings(
        String name,
        AvailabilityZone zone,
        int linkMbps,
        boolean firstStart,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peer,
        InetSocketAddress metrics,
        InetSocketAddress store,
        Optional<InetSocketAddress> cloud,
        List<String> clusterKeys,
        GatewayBounds bounds,
        Optional<Boolean> learnedPlacement,
        String logLevel) {

    /** Makes a defensive copy of the keys. */
    public GatewaySettings {
        clusterKeys = List.copyOf(clusterKeys);
    }

    @Override
    public String toString() {
        // The keys are omitted so that they cannot leak into a log.
        return "GatewaySettings[" + name + " in " + zone + ", callers " + callers + "]";
    }
}
