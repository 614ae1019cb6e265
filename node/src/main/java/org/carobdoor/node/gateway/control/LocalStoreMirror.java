package org.carobdoor.node.gateway.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.carobdoor.EndpointId;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.NewsSource;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.StoreRevision;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.ConfigurationDecoder;
import org.carobdoor.platform.EndpointDecoder;
import org.carobdoor.platform.StoreKeys;
import org.jspecify.annotations.Nullable;

/**
 * This node's copy of the configuration and the endpoints, received from the store or from peers.
 *
 * <p>A configuration is applied only if its revision is higher than the current one, and, after the
 * store has come back from an older copy, only if its version is not lower, so a node never reverts
 * to an older configuration. Data of peers and of the store are treated alike, since both carry the
 * store's revisions, combined with its era. Must be used on the event loop.
 */
final class LocalStoreMirror {
    private final EndpointDirectory directory;
    private final ForwardingState state;
    private final DecisionLog log;
    private final Map<String, StoreItem> endpointItems = new HashMap<>();
    private @Nullable StoreItem configurationItem;
    private long configurationVersion;

    /** The highest revision of a configuration that was received, applied or not. */
    private long knownConfigurationRevision;

    /** When the endpoints were last known to be current, in {@link System#nanoTime}. */
    private long currentAtNanos = System.nanoTime();

    LocalStoreMirror(EndpointDirectory directory, ForwardingState state, DecisionLog log) {
        this.directory = directory;
        this.state = state;
        this.log = log;
    }

    /** Returns the store's revision of the current configuration; 0 if there is none. */
    long configurationRevision() {
        return configurationItem == null ? 0 : configurationItem.revision();
    }

    /** Returns the highest revision of a configuration that this node has received. */
    long knownConfigurationRevision() {
        return knownConfigurationRevision;
    }

    /** Returns whether a peer with a configuration of this revision has a newer one. */
    boolean lacksConfiguration(long peerRevision) {
        return peerRevision > knownConfigurationRevision;
    }

    /** Returns the store's revision at which the endpoints are current. */
    long directoryRevision() {
        return directory.revision();
    }

    /** Applies a configuration, unless the current one is at least as new. */
    void applyConfiguration(StoreItem item, String source) {
        if (item.revision() <= knownConfigurationRevision) {
            return;
        }
        switch (ConfigurationDecoder.decode(item.value())) {
            case Result.Ok<Configuration>(Configuration c) -> {
                knownConfigurationRevision = item.revision();
                if (isOfOlderCopy(c, item.revision())) {
                    log.line("configuration.kept")
                            .add("version", configurationVersion)
                            .add("received_version", c.version())
                            .add("revision", item.revision())
                            .add("source", source)
                            .write();
                    return;
                }
                configurationItem = item;
                configurationVersion = c.version();
                state.configure(c, System.nanoTime());
                setConfiguredIfComplete();
                log.line("configuration.applied")
                        .add("version", c.version())
                        .add("revision", item.revision())
                        .add("source", source)
                        .write();
            }
            case Result.Err<Configuration>(Failure f) ->
                    log.line("configuration.unreadable")
                            .add("revision", item.revision())
                            .add("failure", '"' + f.toString() + '"')
                            .write();
        }
    }

    /** Returns whether a store that has come back lacks the configuration in force. */
    private boolean isOfOlderCopy(Configuration received, long revision) {
        return configurationItem != null
                && StoreRevision.isLaterEra(revision, configurationItem.revision())
                && received.version() < configurationVersion;
    }

    /** Replaces all endpoints by a complete list of the store, current at {@code revision}. */
    void replaceEndpoints(Collection<StoreItem> items, long revision) {
        replaceEndpoints(items, revision, NewsSource.list(millisSinceCurrent()));
    }

    private void replaceEndpoints(Collection<StoreItem> items, long revision, NewsSource source) {
        List<EndpointEntry> entries = new ArrayList<>();
        Map<EndpointId, Long> revisions = new HashMap<>();
        for (StoreItem item : items) {
            Optional<EndpointEntry> entry = decode(item);
            if (entry.isPresent()) {
                entries.add(entry.get());
                revisions.put(entry.get().id(), item.revision());
            }
        }
        directory.replaceAll(entries, revisions, revision, source, System.nanoTime());
        items.forEach(this::keepIfCurrent);
        endpointItems.keySet().removeIf(key -> !isRegistered(key));
        currentAtNanos = System.nanoTime();
        setConfiguredIfComplete();
    }

    private void setConfiguredIfComplete() {
        if (configurationItem != null && directory.isLoaded()) {
            state.setConfigured();
        }
    }

    /** Applies all changes of the endpoints up to {@code storeRevision}. */
    void applyEndpoints(List<StoreChange> changes, long storeRevision) {
        NewsSource source = NewsSource.watch(millisSinceCurrent());
        for (StoreChange change : changes) {
            switch (change) {
                case StoreChange.Written(StoreItem item) -> {
                    Optional<EndpointEntry> entry = decode(item);
                    if (entry.isPresent()) {
                        directory.put(entry.get(), item.revision(), source);
                        keepIfCurrent(item);
                    } else {
                        EndpointDecoder.idOf(item.key())
                                .ifPresent(
                                        id -> directory.putUnusable(id, item.revision(), source));
                        endpointItems.remove(item.key());
                    }
                }
                case StoreChange.Deleted(String key, long revision) -> {
                    EndpointDecoder.idOf(key)
                            .ifPresent(
                                    id ->
                                            directory.remove(
                                                    id, revision, source, System.nanoTime()));
                    if (!isRegistered(key)) {
                        endpointItems.remove(key);
                    }
                }
            }
        }
        directory.advance(storeRevision);
        currentAtNanos = System.nanoTime();
    }

    /** Returns the data that a peer lacks; empty if its revisions are not older. */
    Optional<StoreMirror> reply(StoreMirrorRequest request) {
        List<ReplicaItem> configuration = new ArrayList<>();
        if (configurationItem != null
                && configurationItem.revision() > request.configurationRevision()) {
            configuration.add(toReplicaItem(configurationItem));
        }
        boolean directoryNewer = directory.revision() > request.directoryRevision();
        if (configuration.isEmpty() && !directoryNewer) {
            return Optional.empty();
        }
        return Optional.of(
                new StoreMirror(
                        configuration,
                        directoryNewer ? directory.revision() : 0,
                        directoryNewer
                                ? endpointItems.values().stream()
                                        .map(LocalStoreMirror::toReplicaItem)
                                        .toList()
                                : List.of()));
    }

    /** Applies the data of a peer that are newer than those of this node. */
    void applyMirror(StoreMirror mirror, String from) {
        for (ReplicaItem i : mirror.configuration()) {
            if (i.key().equals(StoreKeys.CONFIGURATION)) {
                applyConfiguration(new StoreItem(i.key(), i.value(), i.revision()), from);
            }
        }
        directory.recordRevisionOfPeer(mirror.directoryRevision(), System.nanoTime());
        if (mirror.directoryRevision() > directory.revision()) {
            List<StoreItem> items =
                    mirror.endpoints().stream()
                            .map(i -> new StoreItem(i.key(), i.value(), i.revision()))
                            .toList();
            NewsSource source = NewsSource.peer(from, millisSinceCurrent());
            replaceEndpoints(items, mirror.directoryRevision(), source);
            log.line("endpoints.mirrored")
                    .add("from", from)
                    .add("revision", mirror.directoryRevision())
                    .write();
        }
    }

    /** Keeps an item for peers if it is the one that the directory rests on. */
    private void keepIfCurrent(StoreItem item) {
        OptionalLong current =
                EndpointDecoder.idOf(item.key())
                        .map(directory::registeredRevision)
                        .orElse(OptionalLong.empty());
        if (current.isPresent() && current.getAsLong() == item.revision()) {
            endpointItems.put(item.key(), item);
        }
    }

    private boolean isRegistered(String key) {
        return EndpointDecoder.idOf(key)
                .map(id -> directory.registeredRevision(id).isPresent())
                .orElse(false);
    }

    private long millisSinceCurrent() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - currentAtNanos);
    }

    private Optional<EndpointEntry> decode(StoreItem item) {
        return switch (EndpointDecoder.decode(item)) {
            case Result.Ok<EndpointEntry>(EndpointEntry e) -> Optional.of(e);
            case Result.Err<EndpointEntry>(Failure f) -> {
                log.line("endpoint.unreadable").add("failure", '"' + f.toString() + '"').write();
                yield Optional.empty();
            }
        };
    }

    private static ReplicaItem toReplicaItem(StoreItem item) {
        return new ReplicaItem(item.key(), item.revision(), false, item.value());
    }
}
