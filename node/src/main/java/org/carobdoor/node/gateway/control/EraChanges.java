package org.carobdoor.node.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.quarantine.RequestQuarantine;

/**
 * Tells the parts of a node, in the order in which they were added, that the store is in a new era.
 * Each drops what it held in the former one, and writes again what it keeps in the store.
 */
final class EraChanges implements StoreClient.EraListener {
    private final List<LongConsumer> listeners = new ArrayList<>();
    private final LocalStoreMirror mirror;
    private final RequestQuarantine quarantine;
    private final DecisionLog log;

    EraChanges(LocalStoreMirror mirror, RequestQuarantine quarantine, DecisionLog log) {
        this.mirror = mirror;
        this.quarantine = quarantine;
        this.log = log;
    }

    void add(LongConsumer listener) {
        listeners.add(listener);
    }

    @Override
    public void eraBegan(long former, long era) {
        log.line("store.era_changed")
                .add("former", former)
                .add("era", era)
                .add("configuration", mirror.configurationRevision())
                .add("directory", mirror.directoryRevision())
                .add("quarantined", quarantine.size())
                .write();
        for (LongConsumer l : listeners) {
            GuardedTask.run("era listener", () -> l.accept(era), log);
        }
    }
}
