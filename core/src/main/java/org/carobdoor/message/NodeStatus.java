package org.carobdoor.message;

import java.util.List;
import java.util.Map;

/**
 * The status that a node sends to all others, directly or through relays. All counts are totals
 * since the start of the node. A status has either all values or only those that have changed since
 * the previous one, so a receiver that misses one waits for the next complete one.
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
 * @param sequence counts the statuses of the run from 1; 0 if the sender does not count them
 * @param complete whether all values are included; otherwise, an endpoint without work of the node
 *     is included only if it had some in the previous status
 * @param unserved whether the node receives no statuses from a relay
 * @param storeEra the era of the store that the revisions belong to; 0 if the store states none
 * @param evidence the measured service times of endpoints
 * @param versions the answers of endpoints by version, while versions are rolled out
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
        long quarantineDigest,
        long sequence,
        boolean complete,
        boolean unserved,
        long storeEra,
        List<EndpointEvidence> evidence,
        List<VersionEvidence> versions)
        implements NodeMessage {
    private static final char RUN_SEPARATOR = '@';

    /** Creates a status without a store era and evidence. */
    public NodeStatus(
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
            long quarantineDigest,
            long sequence,
            boolean complete,
            boolean unserved) {
        this(
                node,
                startedAtMillis,
                zone,
                timeMillis,
                configurationRevision,
                directoryRevision,
                accounts,
                endpoints,
                windows,
                workMillis,
                quarantineDigest,
                sequence,
                complete,
                unserved,
                0,
                List.of(),
                List.of());
    }

    /** Copies the collections. */
    public NodeStatus {
        accounts = List.copyOf(accounts);
        endpoints = List.copyOf(endpoints);
        windows = List.copyOf(windows);
        workMillis = Map.copyOf(workMillis);
        evidence = List.copyOf(evidence);
        versions = List.copyOf(versions);
    }

    /** Returns whether all values are included, as they are in statuses that are not counted. */
    public boolean isComplete() {
        return complete || sequence == 0;
    }

    /** Returns a copy that was held for {@code millis}, by which its time is later. */
    public NodeStatus heldFor(long millis) {
        return new NodeStatus(
                node,
                startedAtMillis,
                zone,
                timeMillis + millis,
                configurationRevision,
                directoryRevision,
                accounts,
                endpoints,
                windows,
                workMillis,
                quarantineDigest,
                sequence,
                complete,
                unserved,
                storeEra,
                evidence,
                versions);
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
