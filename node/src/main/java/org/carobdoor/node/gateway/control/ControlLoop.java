package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.directory.DirectoryFreshness;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.duty.ClusterClock;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.DutyLease;
import org.carobdoor.internal.peers.NodeCensus;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.platform.StoreKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.carobdoor.wire.TransportCounters;
import org.jspecify.annotations.Nullable;

/**
 * Synchronizes a node with the store and the other nodes, and runs the duties. Must be used on the
 * event loop.
 */
public final class ControlLoop implements PeerRegistry.Listener {
    /**
     * The stale limit of the nodes' own keys. They change rarely, no bound depends on them alone,
     * and they are checked when another watch finds its connection silent.
     */
    private static final Duration NODE_KEYS_STALE_LIMIT = Duration.ofSeconds(10);

    /**
     * Minimum delay for batching changes; well within the two seconds in which a node must stop
     * using an endpoint.
     */
    private static final long MIN_BATCH_DELAY_MILLIS = 250;

    /** Added because each node increases the number of store calls for one change. */
    private static final long BATCH_DELAY_MILLIS_PER_NODE = 4;

    private static final long MAX_BATCH_DELAY_MILLIS = 500;

    private static final long TICK_INTERVAL_MILLIS = 200;

    private static final long RETRY_SUMMARY_INTERVAL_MILLIS = 1_000;

    private static final int STATUS_USAGE_WINDOWS = 4;

    private final EventLoop loop;
    private final GatewaySettings settings;
    private final ForwardingState state;
    private final EndpointDirectory directory;
    private final StoreClient store;
    private final LocalStoreMirror mirror;
    private final TcpPeerNetwork network;
    private final PollClock polls;
    private final TransportCounters traffic;
    private final PeerRegistry peers;
    private final QuarantineSync quarantineSync;
    private final QuotaLender quotaLender;
    private final @Nullable DutyRunner dutyRunner;
    private final RolloutRunner rolloutRunner;
    private final StoreStreamRecords streamRecords;
    private final ClusterClock clock;
    private final ClusterUsage usage = ClusterUsage.create();
    private final DecisionLog log;
    private final String run;
    private final long startedAtMillis;
    private final StoreNewsExchange storeNews;
    private final StoreWatches watches;
    private final StoreWatch nodeKeysWatch;
    private final DirectoryFreshness freshness;
    private final EraChanges eraChanges;
    private boolean nodeListLoaded;
    private boolean directoryStale;

    /** Creates a control loop; {@link #start} starts it. */
    public ControlLoop(
            EventLoop loop,
            GatewaySettings settings,
            ForwardingState state,
            EndpointDirectory directory,
            TcpPeerNetwork network,
            String run,
            long startedAtMillis,
            RandomGenerator random,
            PollClock polls,
            DecisionLog log) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.directory = directory;
        this.run = run;
        this.startedAtMillis = startedAtMillis;
        this.log = log;
        store = new StoreClient(loop, settings.store(), log);
        mirror = new LocalStoreMirror(directory, state, log);
        eraChanges = new EraChanges(mirror, state.quarantine(), log);
        store.onNewEra(eraChanges);
        this.network = network;
        this.polls = polls;
        traffic = network.counters();
        clock = ClusterClock.start(System.nanoTime(), System.currentTimeMillis());
        peers =
                new PeerRegistry(
                        loop,
                        store,
                        network,
                        mirror,
                        new PeerAddress(run, settings.peer(), settings.zone()),
                        settings.linkMbps(),
                        this::ownStatus,
                        this::isDirectoryStale,
                        NodeCensus.create(settings.firstStart()),
                        this,
                        log);
        quotaLender = new QuotaLender(loop, network, state.accountQuotas(), peers, run);
        state.setQuotaLoans(quotaLender);
        quarantineSync =
                new QuarantineSync(loop, store, network, state.quarantine(), peers::sendToAll, log);
        dutyRunner = settings.cloud().map(a -> newDutyRunner(a, random)).orElse(null);
        storeNews = new StoreNewsExchange(loop, network, peers::storeReaders, polls, log);
        rolloutRunner =
                new RolloutRunner(
                        loop,
                        store,
                        settings.bounds().rollouts(),
                        dutyRunner,
                        state,
                        () -> clock.millis(System.nanoTime()),
                        peers::nodeCount,
                        run,
                        log);
        if (dutyRunner != null) {
            eraChanges.add(dutyRunner::eraBegan);
        }
        streamRecords = new StoreStreamRecords(loop, store, state, peers::nodeCount, run, log);
        Duration staleLimit = settings.bounds().staleLimit();
        watches = new StoreWatches(loop, store, storeNews::add, random, polls, log);
        watches.onRegained(quarantineSync::storeRegained);
        watches.add(
                rolloutRunner.operatorKeys(),
                schedule(staleLimit),
                () -> 0,
                new ConfigurationListener());
        WatchSchedule endpointSchedule = schedule(staleLimit);
        // A watch without a reply for longer may have missed changes.
        freshness = DirectoryFreshness.create(endpointSchedule.budgetNanos(), System.nanoTime());
        watches.add(
                StoreKeys.ENDPOINTS_PREFIX,
                endpointSchedule,
                this::batchDelayMillis,
                new EndpointListener());
        nodeKeysWatch =
                watches.add(
                        NodeStoreKeys.PREFIX,
                        schedule(NODE_KEYS_STALE_LIMIT),
                        this::batchDelayMillis,
                        new NodeKeysListener(
                                peers,
                                quarantineSync,
                                rolloutRunner,
                                dutyRunner,
                                this::nodeListLoaded,
                                log));
    }

    /** Adds a listener of the eras of the store; it writes again what it keeps there. */
    public void addEraListener(LongConsumer onNewEra) {
        eraChanges.add(onNewEra);
    }

    /** Starts the store watches, the exchange with the other nodes, and the duties. */
    public void start() {
        eraChanges.add(era -> peers.eraBegan());
        eraChanges.add(era -> streamRecords.eraBegan());
        state.setStreamRecords(
                streamRecords,
                () -> !isDirectoryStale(),
                () -> freshness.isStoreLost(System.nanoTime()));
        watches.start();
        // After all other listeners, which drop what is not valid in the new era.
        eraChanges.add(era -> watches.start());
        storeNews.start();
        peers.start();
        quarantineSync.start();
        if (dutyRunner != null) {
            dutyRunner.start();
        }
        rolloutRunner.start();
        streamRecords.start();
        GuardedTask.repeat(loop, "control", this::tick, TICK_INTERVAL_MILLIS, log);
        PeerTrafficLog traffic = new PeerTrafficLog(network, peers, log);
        GuardedTask.repeat(loop, "traffic", traffic::write, PeerTrafficLog.INTERVAL_MILLIS, log);
        GuardedTask.repeat(loop, "retries", state::logRetries, RETRY_SUMMARY_INTERVAL_MILLIS, log);
    }

    private DutyRunner newDutyRunner(InetSocketAddress address, RandomGenerator random) {
        return new DutyRunner(
                loop,
                store,
                address,
                DutyLease.create(run, random),
                usage,
                state,
                settings.bounds(),
                settings.name(),
                run,
                () -> clock.millis(System.nanoTime()),
                peers::allPeersReporting,
                log);
    }

    private void nodeListLoaded() {
        nodeListLoaded = true;
        state.setNodes(peers.nodeCount(), peers.isNodeCountComplete(), System.nanoTime());
    }

    /** Returns whether the node has the state that it needs to serve requests. */
    public boolean isReady() {
        return state.isReady();
    }

    /** Releases the duties, so that another node can take them over. */
    public void releaseDuties() {
        if (dutyRunner != null) {
            dutyRunner.stop();
        }
    }

    /** Appends the metrics in the Prometheus text format. */
    public void writeMetrics(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_store_calls counter\n")
                .append("carobdoor_gateway_store_calls_total ")
                .append(store.callCount())
                .append("\n# TYPE carobdoor_gateway_cloud_calls counter\n")
                .append("carobdoor_gateway_cloud_calls_total ")
                .append(dutyRunner == null ? 0 : dutyRunner.cloudCallCount())
                .append("\n# TYPE carobdoor_gateway_status_messages counter\n")
                .append("carobdoor_gateway_status_messages_total ")
                .append(peers.statusMessages())
                .append("\n# TYPE carobdoor_gateway_peer_bytes counter\n")
                .append("carobdoor_gateway_peer_bytes_total{direction=\"sent\"} ")
                .append(traffic.bytesSent())
                .append("\ncarobdoor_gateway_peer_bytes_total{direction=\"received\"} ")
                .append(traffic.bytesReceived())
                .append("\n# TYPE carobdoor_gateway_nodes gauge\ncarobdoor_gateway_nodes ")
                .append(peers.nodeCount())
                .append("\n# TYPE carobdoor_gateway_duty_holder gauge\n")
                .append("carobdoor_gateway_duty_holder ")
                .append(dutyRunner != null && dutyRunner.isHolder() ? 1 : 0)
                .append("\n# TYPE carobdoor_gateway_configuration_revision gauge\n")
                .append("carobdoor_gateway_configuration_revision ")
                .append(mirror.configurationRevision())
                .append("\n# TYPE carobdoor_gateway_store_era gauge\ncarobdoor_gateway_store_era ")
                .append(store.era())
                .append('\n');
        quotaLender.writeMetrics(to);
        if (dutyRunner != null) {
            dutyRunner.autoscaler().metrics().appendTo(to);
        }
        storeNews.writeMetrics(to);
        rolloutRunner.writeMetrics(to);
    }

    /** Checks the watch with the longest waits if another one had no reply. */
    private void checkNodeKeysWatch(StoreAnswer answer) {
        if (answer instanceof StoreAnswer.Unknown) {
            nodeKeysWatch.checkConnection();
        }
    }

    private static WatchSchedule schedule(Duration staleLimit) {
        return WatchSchedule.create(staleLimit, System.nanoTime());
    }

    private long batchDelayMillis() {
        return Math.min(
                MAX_BATCH_DELAY_MILLIS,
                MIN_BATCH_DELAY_MILLIS + BATCH_DELAY_MILLIS_PER_NODE * peers.nodeCount());
    }

    private boolean isDirectoryStale() {
        return freshness.isStale(System.nanoTime());
    }

    /** Returns the time since the endpoints were last known to be current, in milliseconds. */
    public long endpointNewsAgeMillis() {
        return freshness.ageMillis(System.nanoTime());
    }

    /** Logs when the endpoints become or cease to be possibly out of date. */
    private void logStaleness(long nowNanos) {
        boolean stale = isDirectoryStale();
        if (stale != directoryStale) {
            directoryStale = stale;
            log.line(stale ? "endpoints.stale" : "endpoints.current")
                    .add("revision", directory.revision())
                    .add("reply_age_ms", freshness.ageMillis(nowNanos))
                    .write();
        }
    }

    private void tick() {
        long now = System.nanoTime();
        logStaleness(now);
        directory.expire(now);
        state.endpoints().closeIdleConnections(now);
        state.endpoints().capacities().refresh(now);
        state.endpoints().setUnreachableZones(peers.silentZones());
        if (nodeListLoaded) {
            state.setNodes(peers.nodeCount(), peers.isNodeCountComplete(), now);
        }
        quotaLender.updateZoneShare(peers.nodeCount());
        state.setClock(clock.millis(now), now);
        recentUsageWindows().forEach(w -> usage.report(run, w.window(), w.counts()));
    }

    private List<UsageWindow> recentUsageWindows() {
        long first = state.usage().windowAt(clock.millis(System.nanoTime())) - STATUS_USAGE_WINDOWS;
        List<UsageWindow> windows = new ArrayList<>();
        state.usage().since(first).forEach((w, counts) -> windows.add(new UsageWindow(w, counts)));
        return windows;
    }

    private NodeStatus ownStatus() {
        long now = System.nanoTime();
        return new NodeStatus(
                settings.name(),
                startedAtMillis,
                settings.zone().value(),
                clock.millis(now),
                mirror.configurationRevision(),
                mirror.directoryRevision(),
                state.accountQuotas().ownUse(peers.hasNewPeer(), now),
                state.endpoints().ownUse(),
                recentUsageWindows(),
                state.workMillis(),
                state.quarantine().digest(),
                0,
                true,
                false,
                store.era(),
                state.endpoints().capacities().nextEvidence(),
                rolloutRunner.ownEvidence());
    }

    @Override
    public void statusReceived(NodeStatus message, boolean usable) {
        long now = System.nanoTime();
        store.observeEra(message.storeEra());
        String sender = message.run();
        clock.report(sender, message.timeMillis(), now);
        directory.recordRevisionOfPeer(message.directoryRevision(), now);
        if (!message.zone().isBlank()) {
            directory.recordZoneHeard(new AvailabilityZone(message.zone()), now);
        }
        quarantineSync.statusReceived(message);
        if (!usable) {
            return;
        }
        long age = message.timeMillis() - message.startedAtMillis();
        state.accountQuotas().applyNodeUse(sender, message.accounts(), age, now);
        state.endpoints().setRemoteUse(sender, message.endpoints(), message.isComplete());
        state.endpoints().capacities().receive(sender, message.evidence());
        message.windows().forEach(w -> usage.report(sender, w.window(), w.counts()));
        rolloutRunner.statusReceived(message);
        if (dutyRunner != null) {
            dutyRunner.autoscaler().recordWork(sender, message.workMillis());
        }
    }

    @Override
    public void peerRemoved(String peerRun) {
        state.accountQuotas().removeNode(peerRun);
        state.endpoints().removeSender(peerRun);
        quarantineSync.peerRemoved(peerRun);
        if (dutyRunner != null) {
            dutyRunner.autoscaler().removeRun(peerRun);
        }
    }

    /**
     * Removes this node from the store; {@code onRemoved} runs when the store has replied or is not
     * going to.
     */
    public void stop(Runnable onRemoved) {
        peers.stop(onRemoved);
    }

    private final class ConfigurationListener implements StoreWatch.Listener {
        @Override
        public void loaded(List<StoreItem> items, long revision) {
            items.forEach(this::apply);
        }

        @Override
        public void changed(List<StoreChange> changes, long revision) {
            for (StoreChange c : changes) {
                if (c instanceof StoreChange.Written(StoreItem item)) {
                    apply(item);
                }
            }
        }

        @Override
        public void callFailed(StoreAnswer answer) {
            checkNodeKeysWatch(answer);
        }

        private void apply(StoreItem item) {
            if (item.key().equals(StoreKeys.CONFIGURATION)) {
                mirror.applyConfiguration(item, "store");
            } else {
                GuardedTask.run(
                        "key " + item.key(), () -> rolloutRunner.operatorKeyWritten(item), log);
            }
        }
    }

    private final class EndpointListener implements StoreWatch.Listener {
        @Override
        public void loaded(List<StoreItem> items, long revision) {
            mirror.replaceEndpoints(items, revision);
        }

        @Override
        public void changed(List<StoreChange> changes, long revision) {
            mirror.applyEndpoints(changes, revision);
        }

        @Override
        public void callSucceeded(long provenNanos) {
            freshness.recordProof(provenNanos);
            // The calls that failed are counted from their reading too.
            directory.recordStoreAvailable(System.nanoTime());
        }

        @Override
        public void callFailed(StoreAnswer answer) {
            freshness.recordFailure(System.nanoTime());
            checkNodeKeysWatch(answer);
            directory.recordStoreUnavailable(System.nanoTime());
        }
    }
}
