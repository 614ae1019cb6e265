package org.carobdoor.node.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.carobdoor.AvailabilityZone;

/**
 * The validated settings of a node.
 *
 * <pre>{@code
 * Result<NodeSettings> settings = SettingsLoader.load(Path.of("node.toml"));
 * }</pre>
 *
 * @param name the name of the VM, used as the prefix of the node id
 * @param vmId the identifier of the VM on the platform, used to recognise reclaim notices for this
 *     VM; empty if unknown
 * @param zone the availability zone of the VM
 * @param http the listen address for callers and operators
 * @param peer the listen address for other nodes: TCP for messages, UDP for probes
 * @param platform the base URL of the platform services
 * @param seeds the addresses of nodes through which to join the cluster
 * @param clusterKeys the shared keys that authenticate nodes; the first one is used for sending
 * @param operatorKeys the keys that authenticate operators
 * @param accounts the client accounts
 * @param requests the limits and timeouts of requests
 * @param log the log settings
 */
public record NodeSettings(
        String name,
        String vmId,
        AvailabilityZone zone,
        InetSocketAddress http,
        InetSocketAddress peer,
        URI platform,
        List<InetSocketAddress> seeds,
        List<String> clusterKeys,
        List<String> operatorKeys,
        List<AccountSettings> accounts,
        RequestSettings requests,
        LogSettings log) {

    /** Makes defensive copies of the lists. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
        clusterKeys = List.copyOf(clusterKeys);
        operatorKeys = List.copyOf(operatorKeys);
        accounts = List.copyOf(accounts);
    }

    @Override
    public String toString() {
        // Omits the keys to keep them out of logs.
        return "NodeSettings[" + name + " in " + zone + ", http " + http + ", peer " + peer + "]";
    }
}
