package org.carobdoor.node.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.carobdoor.AvailabilityZone;

/**
 * The checked settings of one daemon.
 *
 * <pre>{@code
 * Result<NodeSettings> settings = SettingsLoader.load(Path.of("node.toml"));
 * }</pre>
 *
 * @param name the name of the VM, part of the node's id
 * @param vmId the platform's identifier of the VM, by which its own reclaim notice is recognised;
 *     empty if it is not known
 * @param zone the availability zone of the VM
 * @param http where callers and operators connect
 * @param peer where other nodes connect: TCP for messages, UDP for probes
 * @param platform the base URL of the platform's services
 * @param seeds addresses of nodes to join through
 * @param clusterKeys keys that nodes prove to each other; the first one is used for sending
 * @param operatorKeys keys that authenticate operators
 * @param accounts the client accounts
 * @param requests bounds of requests
 * @param log how to log
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

    /** Copies the lists. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
        clusterKeys = List.copyOf(clusterKeys);
        operatorKeys = List.copyOf(operatorKeys);
        accounts = List.copyOf(accounts);
    }

    @Override
    public String toString() {
        // Leaves out the keys, so that they cannot reach a log.
        return "NodeSettings[" + name + " in " + zone + ", http " + http + ", peer " + peer + "]";
    }
}
