package org.carobdoor.node.gateway.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/** Hands the keys that nodes write to the store to the parts of this node that keep them. */
final class NodeKeysListener implements StoreWatch.Listener {
    private final PeerRegistry peers;
    private final QuarantineSync quarantineSync;
    private final RolloutRunner rolloutRunner;
    private final @Nullable DutyRunner dutyRunner;
    private final Runnable onNodeList;
    private final DecisionLog log;

    /**
     * Creates a listener.
     *
     * @param onNodeList runs after a complete list of the nodes has been applied
     */
    NodeKeysListener(
            PeerRegistry peers,
            QuarantineSync quarantineSync,
            RolloutRunner rolloutRunner,
            @Nullable DutyRunner dutyRunner,
            Runnable onNodeList,
            DecisionLog log) {
        this.peers = peers;
        this.quarantineSync = quarantineSync;
        this.rolloutRunner = rolloutRunner;
        this.dutyRunner = dutyRunner;
        this.onNodeList = onNodeList;
        this.log = log;
    }

    @Override
    public void loaded(List<StoreItem> items, long revision) {
        Set<String> runs = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (StoreItem item : items) {
            keys.add(item.key());
            if (item.key().startsWith(NodeStoreKeys.NODES_PREFIX)) {
                runs.add(item.key().substring(NodeStoreKeys.NODES_PREFIX.length()));
            }
            keyWritten(item);
        }
        quarantineSync.loaded(items, revision);
        peers.replaceListed(runs);
        onNodeList.run();
        for (String key : List.of(NodeStoreKeys.DUTY_HOLDER, NodeStoreKeys.REPORTED_USAGE)) {
            if (!keys.contains(key)) {
                keyMissing(key, revision);
            }
        }
        rolloutRunner.statesLoaded(keys, revision);
    }

    @Override
    public void changed(List<StoreChange> changes, long revision) {
        for (StoreChange change : changes) {
            switch (change) {
                case StoreChange.Written(StoreItem item) -> keyWritten(item);
                case StoreChange.Deleted(String key, long at) -> keyMissing(key, at);
            }
        }
    }

    /** Applies a key so that a failure does not affect the others. */
    private void keyWritten(StoreItem item) {
        GuardedTask.run("key " + item.key(), () -> applyKey(item), log);
    }

    private void applyKey(StoreItem item) {
        if (item.key().startsWith(NodeStoreKeys.NODES_PREFIX)) {
            String peerRun = item.key().substring(NodeStoreKeys.NODES_PREFIX.length());
            PeerAddress.decode(peerRun, item.value())
                    .ifPresent(p -> peers.peerListed(p, item.revision()));
        } else if (item.key().startsWith(NodeStoreKeys.LINKS_PREFIX)) {
            peers.linkListed(
                    item.key().substring(NodeStoreKeys.LINKS_PREFIX.length()),
                    item.value().toUtf8());
        } else if (item.key().startsWith(NodeStoreKeys.QUARANTINE_PREFIX)) {
            quarantineSync.keyWritten(item);
        } else if (item.key().startsWith(NodeStoreKeys.ROLLOUTS_PREFIX)) {
            rolloutRunner.stateWritten(item);
        } else if (dutyRunner != null) {
            dutyRunner.keyWritten(item);
        }
    }

    private void keyMissing(String key, long revision) {
        if (key.startsWith(NodeStoreKeys.NODES_PREFIX)) {
            peers.peerUnlisted(key.substring(NodeStoreKeys.NODES_PREFIX.length()));
        } else if (key.startsWith(NodeStoreKeys.LINKS_PREFIX)) {
            peers.linkUnlisted(key.substring(NodeStoreKeys.LINKS_PREFIX.length()));
        } else if (key.startsWith(NodeStoreKeys.QUARANTINE_PREFIX)) {
            quarantineSync.keyDeleted(key, revision);
        } else if (key.startsWith(NodeStoreKeys.ROLLOUTS_PREFIX)) {
            rolloutRunner.stateMissing(key, revision);
        } else if (dutyRunner != null) {
            dutyRunner.keyMissing(key, revision);
        }
    }
}
