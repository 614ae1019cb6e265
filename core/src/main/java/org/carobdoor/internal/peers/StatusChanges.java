package org.carobdoor.internal.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.message.AccountUse;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.message.VersionEvidence;

/**
 * Reduces the successive statuses of this node to what has changed. In a large cluster a node
 * handles a few requests between two statuses, which change a small part of its values.
 *
 * <p>Not thread-safe.
 */
final class StatusChanges {
    /**
     * Number of statuses of which one is complete. A receiver that has missed one knows the values
     * again after this many.
     */
    private static final int COMPLETE_EACH = 8;

    /**
     * The same while nodes start in a large cluster. All nodes may start at once, and complete
     * statuses of all nodes would take most of their processor time just then.
     */
    private static final int COMPLETE_EACH_WHILE_NODES_START = 4;

    private final Map<String, AccountUse> accounts = new HashMap<>();
    private final Map<String, EndpointUse> endpoints = new HashMap<>();
    private final Map<Long, Map<String, Long>> windows = new HashMap<>();
    private final Map<String, Long> work = new HashMap<>();
    private final Map<String, EndpointEvidence> evidence = new HashMap<>();
    private Set<VersionEvidence> versions = Set.of();
    private long sequence;
    private int sinceComplete = COMPLETE_EACH;

    /**
     * Returns the next status to send.
     *
     * @param all a status with all values
     * @param nodesStart whether a node has just started, which does not know the values yet
     * @param relayed whether relays forward the status
     * @param unserved whether no relay serves this node
     */
    NodeStatus next(NodeStatus all, boolean nodesStart, boolean relayed, boolean unserved) {
        sequence++;
        sinceComplete++;
        int completeEach =
                !nodesStart ? COMPLETE_EACH : relayed ? COMPLETE_EACH_WHILE_NODES_START : 1;
        boolean sendAll = sinceComplete >= completeEach;
        if (sendAll) {
            sinceComplete = 0;
        }
        List<AccountUse> changedAccounts = changedAccounts(all.accounts());
        List<EndpointUse> changedEndpoints = changedEndpoints(all.endpoints());
        List<UsageWindow> changedWindows = changedWindows(all.windows());
        Map<String, Long> changedWork = new HashMap<>(all.workMillis());
        changedWork.entrySet().removeIf(e -> e.getValue().equals(work.get(e.getKey())));
        work.putAll(changedWork);
        NodeStatus next =
                new NodeStatus(
                        all.node(),
                        all.startedAtMillis(),
                        all.zone(),
                        all.timeMillis(),
                        all.configurationRevision(),
                        all.directoryRevision(),
                        sendAll ? all.accounts() : changedAccounts,
                        sendAll ? all.endpoints() : changedEndpoints,
                        sendAll ? all.windows() : changedWindows,
                        sendAll ? all.workMillis() : changedWork,
                        all.quarantineDigest(),
                        sequence,
                        sendAll,
                        unserved,
                        all.storeEra(),
                        sendAll ? all.evidence() : changedEvidence(all.evidence()),
                        sendAll ? all.versions() : changedVersions(all.versions()));
        all.evidence().forEach(e -> evidence.put(e.endpoint(), e));
        evidence.keySet()
                .retainAll(all.evidence().stream().map(EndpointEvidence::endpoint).toList());
        versions = Set.copyOf(all.versions());
        return next;
    }

    private List<EndpointEvidence> changedEvidence(List<EndpointEvidence> now) {
        return now.stream().filter(e -> !e.equals(evidence.get(e.endpoint()))).toList();
    }

    private List<VersionEvidence> changedVersions(List<VersionEvidence> now) {
        return now.stream().filter(v -> !versions.contains(v)).toList();
    }

    private List<AccountUse> changedAccounts(List<AccountUse> now) {
        List<AccountUse> changed = new ArrayList<>();
        for (AccountUse a : now) {
            AccountUse before = accounts.put(a.account(), a);
            if (before == null || before.granted() != a.granted()) {
                changed.add(a);
            }
        }
        return changed;
    }

    private List<EndpointUse> changedEndpoints(List<EndpointUse> now) {
        List<EndpointUse> changed = new ArrayList<>();
        Set<String> busy = new HashSet<>();
        for (EndpointUse e : now) {
            busy.add(e.endpoint());
            EndpointUse before = endpoints.put(e.endpoint(), e);
            if (before == null
                    || before.running() != e.running()
                    || before.unreadTokens() != e.unreadTokens()) {
                changed.add(e);
            }
        }
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!busy.contains(id)) {
                endpoints.remove(id);
                changed.add(new EndpointUse(id, 0, 0));
            }
        }
        return changed;
    }

    private List<UsageWindow> changedWindows(List<UsageWindow> now) {
        List<UsageWindow> changed = new ArrayList<>();
        Set<Long> current = new HashSet<>();
        for (UsageWindow w : now) {
            current.add(w.window());
            Map<String, Long> before = windows.put(w.window(), w.counts());
            Map<String, Long> counts = new HashMap<>(w.counts());
            if (before != null) {
                counts.entrySet().removeIf(e -> e.getValue().equals(before.get(e.getKey())));
            }
            if (!counts.isEmpty()) {
                changed.add(new UsageWindow(w.window(), counts));
            }
        }
        windows.keySet().retainAll(current);
        return changed;
    }
}
