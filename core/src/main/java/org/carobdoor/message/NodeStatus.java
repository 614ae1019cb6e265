package org.carobdoor.message;

import java.util.List;
import java.util.Map;

/**
 * The status that a node sends to all others several times per second. All counts are totals since
 * the start of the node, so the next message compensates for a lost one.
 *
 * @param node the name of the node
 * @param startedAtMillis start time of this process instance, in milliseconds since the epoch
 * @param zone the availability zone of the node
 * @param timeMillis current time of the node, in milliseconds since the epoch
 * @param configurationRevision store revision of the active configuration
 * @param directoryRevision store revision of its endpoint directory
 * @param accounts quota use by client account
 * @param endpoints endpoints with outstanding work of the node
 * @param windows usage counts of the most recent windows
 * @param workMillis engine time in milliseconds of the requests sent by the node, by service
 * @param quarantineDigest combines the quarantined patterns of the node; 0 if there are none
 */
public record NodeStatus(
        String node,
        long startedAtMillis,
        String zone,
        long timeMillis,
        long configurationRevision,
        long directoryRevision,
        List<AccountUse> accounts,
        List<EndpointUse> endpoints,
        List<UsageWindow> windows,
        Map<String, Long> workMillis,
        long quarantineDigest)
        implements NodeMessage {
    private static final char RUN_SEPARATOR = '@';

    /** Copies the collections. */
    public NodeStatus {
        accounts = List.copyOf(accounts);
        endpoints = List.copyOf(endpoints);
        windows = List.copyOf(windows);
        workMillis = Map.copyOf(workMillis);
    }

    /** Returns the identifier of this process instance of the node. */
    public String run() {
        return runOf(node, startedAtMillis);
    }

    /**
     * Returns the identifier of the process instance of {@code node} that started at {@code
     * startedAtMillis}.
     */
    public static String runOf(String node, long startedAtMillis) {
        return node + RUN_SEPARATOR + startedAtMillis;
    }

    /** Returns the node name in the process instance identifier {@code run}. */
    public static String nodeOf(String run) {
        return run.substring(0, Math.max(0, run.lastIndexOf(RUN_SEPARATOR)));
    }
}
