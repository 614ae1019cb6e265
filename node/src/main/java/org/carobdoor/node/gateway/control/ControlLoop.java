package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.duty.ClusterClock;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.DutyTenure;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.platform.StoreKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a node in step with the store and the other nodes, and runs the duties. Belongs to the
 * event loop.
 */
public final class ControlLoop implements Peers.Listener, AutoCloseable {
    /**
     * How long the store may keep a watch of the endpoints waiting. A watch that is silent for
     * longer is replaced, so this bounds how long a node goes on with endpoints that have left.
     */
    private static final long ENDPOINT_WATCH_MILLIS = 4_000;

    /** The same for other keys; the nodes tell each other of a newer configuration meanwhile. */
    private static final long WATCH_MILLIS = 8_000;

    /** Changes may gather this long: well within the two seconds to stop using an endpoint. */
    private static final long MIN_PAUSE_MILLIS = 250;

    /** Each node adds to the calls that the store gets for one change. */
    private static final long PAUSE_MILLIS_PER_NODE = 4;

    private static final long MAX_PAUSE_MILLIS = 500;

    private static final long TICK_MILLIS = 200;

    /** A watch that was not answered for this long has missed changes. */
    private static final long STALE_NANOS = 5_500_000_000L;

    private static final int REPORTED_WINDOWS = 4;

    private final EventLoop loop;
    private final GatewaySettings settings;
    private final ForwardingState state;
    private final EndpointDirectory directory;
    private final Store store;
    private final Mirror mirror;
    private final Peers peers;
    private final @Nullable Duties duties;
    private final ClusterClock clock;
    private final ClusterUsage usage = ClusterUsage.create();
    private final DecisionLog log;
    private final String run;
    private final long startedAtMillis;
    private boolean nodesListed;
    private boolean directoryAway;
    private long directoryAnsweredNanos = System.nanoTime();

    /** Creates the control of a node; {@link #start} begins its work. */
    public ControlLoop(
            EventLoop loop,
            GatewaySettings settings,
            ForwardingState state,
            EndpointDirectory directory,
            TcpPeerNetwork network,
            String run,
            long startedAtMillis,
            RandomGenerator random,
            DecisionLog log) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.directory = directory;
        this.run = run;
        this.startedAtMillis = startedAtMillis;
        this.log = log;
        store = new Store(loop, settings.store(), log);
        mirror = new Mirror(directory, state, log);
        clock = ClusterClock.start(System.nanoTime(), System.currentTimeMillis());
        peers =
                new Peers(
                        loop,
                        store,
                        network,
                        mirror,
                        new PeerAddress(run, settings.peer()),
                        settings.zone(),
                        this::status,
                        this::isDirectoryStale,
                        this,
                        log);
        duties =
                settings.cloud()
                        .map(
                                address ->
                                        new Duties(
                                                loop,
                                                store,
                                                address,
                                                DutyTenure.create(run, random),
                                                usage,
                                                state,
                                                settings.bounds(),
                                                settings.name(),
                                                run,
                                                () -> clock.millis(System.nanoTime()),
                                                peers::allHeard,
                                                log))
                        .orElse(null);
    }

    /** Starts to read the store and to talk to the other nodes. */
    public void start() {
        watch(StoreKeys.CONFIGURATION, WATCH_MILLIS, () -> 0, new ConfigurationWatch());
        watch(StoreKeys.ENDPOINTS, ENDPOINT_WATCH_MILLIS, this::pauseMillis, new EndpointWatch());
        watch(OwnKeys.PREFIX, WATCH_MILLIS, this::pauseMillis, new OwnWatch());
        peers.start();
        if (duties != null) {
            duties.start();
        }
        GuardedTask.repeat(loop, "control", this::tick, TICK_MILLIS, log);
    }

    /** Returns whether the node knows enough to serve. */
    public boolean isReady() {
        return state.isReady();
    }

    /** Gives up the duties and leaves the list of nodes. */
    public void startStopping() {
        if (duties != null) {
            duties.stop();
        }
    }

    /** Writes the counters as lines of the Prometheus text format. */
    public void write(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_store_calls counter\n")
                .append("carobdoor_gateway_store_calls_total ")
                .append(store.calls())
                .append("\n# TYPE carobdoor_gateway_cloud_calls counter\n")
                .append("carobdoor_gateway_cloud_calls_total ")
                .append(duties == null ? 0 : duties.cloudCalls())
                .append("\n# TYPE carobdoor_gateway_nodes gauge\ncarobdoor_gateway_nodes ")
                .append(peers.nodeCount())
                .append("\n# TYPE carobdoor_gateway_duty_holder gauge\n")
                .append("carobdoor_gateway_duty_holder ")
                .append(duties != null && duties.isHolder() ? 1 : 0)
                .append("\n# TYPE carobdoor_gateway_configuration_revision gauge\n")
                .append("carobdoor_gateway_configuration_revision ")
                .append(mirror.configurationRevision())
                .append('\n');
    }

    private void watch(
            String prefix, long waitMillis, LongSupplier pause, StoreWatch.Listener listener) {
        new StoreWatch(loop, store, prefix, waitMillis, pause, listener, log).start();
    }

    private long pauseMillis() {
        return Math.min(
                MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS + PAUSE_MILLIS_PER_NODE * peers.nodeCount());
    }

    private boolean isDirectoryStale() {
        return directoryAway || System.nanoTime() - directoryAnsweredNanos > STALE_NANOS;
    }

    private void tick() {
        long now = System.nanoTime();
        directory.expire(now);
        state.endpoints().closeIdleConnections(now);
        state.endpoints().setUnreachableZones(peers.silentZones());
        if (nodesListed) {
            state.setNodes(peers.nodeCount(), now);
        }
        state.setClock(clock.millis(now), now);
        ownWindows().forEach(w -> usage.report(run, w.window(), w.counts()));
    }

    private List<UsageWindow> ownWindows() {
        long first = state.usage().windowAt(clock.millis(System.nanoTime())) - REPORTED_WINDOWS;
        List<UsageWindow> windows = new ArrayList<>();
        state.usage().since(first).forEach((w, counts) -> windows.add(new UsageWindow(w, counts)));
        return windows;
    }

    private NodeStatus status() {
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
                ownWindows(),
                state.workMillis());
    }

    @Override
    public void status(NodeStatus m) {
        long now = System.nanoTime();
        clock.report(m.run(), m.timeMillis(), now);
        long age = m.timeMillis() - m.startedAtMillis();
        state.accountQuotas().applyNodeUse(m.run(), m.accounts(), age, now);
        state.endpoints().setRemoteUse(m.run(), m.endpoints());
        m.windows().forEach(w -> usage.report(m.run(), w.window(), w.counts()));
        if (duties != null) {
            duties.fleet().reportWork(m.run(), m.workMillis());
        }
    }

    @Override
    public void gone(String peerRun) {
        state.accountQuotas().removeNode(peerRun);
        state.endpoints().removeRemoteUse(peerRun);
        if (duties != null) {
            duties.fleet().forget(peerRun);
        }
    }

    @Override
    public void close() {
        peers.stop();
        store.close();
    }

    private final class ConfigurationWatch implements StoreWatch.Listener {
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

        private void apply(StoreItem item) {
            if (item.key().equals(StoreKeys.CONFIGURATION)) {
                mirror.applyConfiguration(item, "store");
            }
        }
    }

    private final class EndpointWatch implements StoreWatch.Listener {
        @Override
        public void loaded(List<StoreItem> items, long revision) {
            mirror.replaceEndpoints(items, revision);
        }

        @Override
        public void changed(List<StoreChange> changes, long revision) {
            mirror.applyEndpoints(changes);
            directory.advance(revision);
        }

        @Override
        public void answered() {
            directoryAway = false;
            directoryAnsweredNanos = System.nanoTime();
            directory.storeAnswered(directoryAnsweredNanos);
        }

        @Override
        public void unanswered() {
            directoryAway = true;
            directory.storeLost(System.nanoTime());
        }
    }

    private final class OwnWatch implements StoreWatch.Listener {
        @Override
        public void loaded(List<StoreItem> items, long revision) {
            Set<String> runs = new HashSet<>();
            Set<String> keys = new HashSet<>();
            for (StoreItem item : items) {
                keys.add(item.key());
                if (item.key().startsWith(OwnKeys.NODES)) {
                    runs.add(item.key().substring(OwnKeys.NODES.length()));
                }
                written(item);
            }
            peers.listedExactly(runs);
            nodesListed = true;
            state.setNodes(peers.nodeCount(), System.nanoTime());
            for (String key : List.of(OwnKeys.DUTY, OwnKeys.USAGE)) {
                if (!keys.contains(key)) {
                    missing(key, revision);
                }
            }
        }

        @Override
        public void changed(List<StoreChange> changes, long revision) {
            for (StoreChange change : changes) {
                switch (change) {
                    case StoreChange.Written(StoreItem item) -> written(item);
                    case StoreChange.Deleted(String key, long at) -> missing(key, at);
                }
            }
        }

        private void written(StoreItem item) {
            if (item.key().startsWith(OwnKeys.NODES)) {
                String peerRun = item.key().substring(OwnKeys.NODES.length());
                PeerAddress.fromValue(peerRun, item.value())
                        .ifPresent(p -> peers.listed(p, item.revision()));
            } else if (duties != null) {
                duties.keyWritten(item);
            }
        }

        private void missing(String key, long revision) {
            if (key.startsWith(OwnKeys.NODES)) {
                peers.unlisted(key.substring(OwnKeys.NODES.length()));
            } else if (duties != null) {
                duties.keyMissing(key, revision);
            }
        }
    }
}
