package org.carobdoor.message;

import java.util.List;
import java.util.Map;

/**
 * What a node tells all others several times a second. All counts are totals since its start, so a
 * lost message is made up for by the next one.
 *
 * @param node the name of the node
 * @param startedAtMillis when this run of it started, in milliseconds since the epoch
 * @param zone its availability zone
 * @param timeMillis its clock, in milliseconds since the epoch
 * @param configurationRevision the store's revision of the configuration in force
 * @param directoryRevision the store's revision up to which it knows the endpoints
 * @param accounts its use of quotas
 * @param endpoints the endpoints at which it has work
 * @param windows its usage counts of the last windows
 * @param workMillis the engine time of the requests it has sent, by service
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
        Map<String, Long> workMillis)
        implements NodeMessage {
    private static final char RUN_SEPARATOR = '@';

    /** Copies the collections. */
    public NodeStatus {
        accounts = List.copyOf(accounts);
        endpoints = List.copyOf(endpoints);
        windows = List.copyOf(windows);
        workMillis = Map.copyOf(workMillis);
    }

    /** Identifies this run of the node. */
    public String run() {
        return runOf(node, startedAtMillis);
    }

    /** Returns the identifier of the run of {@code node} that started at this time. */
    public static String runOf(String node, long startedAtMillis) {
        return node + RUN_SEPARATOR + startedAtMillis;
    }

    /** Returns the name of the node that {@code run} is a run of. */
    public static String nodeOf(String run) {
        return run.substring(0, Math.max(0, run.lastIndexOf(RUN_SEPARATOR)));
    }
}
