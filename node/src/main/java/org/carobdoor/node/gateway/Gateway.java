package org.carobdoor.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.request.ShutdownAdmission;
import org.carobdoor.internal.resume.StreamVersions;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.node.gateway.control.ControlLoop;
import org.carobdoor.node.gateway.endpoint.EndpointTable;
import org.carobdoor.node.gateway.forward.AccountQuotas;
import org.carobdoor.node.gateway.forward.Forwarder;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.front.CallerServer;
import org.carobdoor.node.gateway.front.StatusServer;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.LoopMonitor;
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.wire.ClusterKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.carobdoor.wire.TransportSettings;

/**
 * A node on the users' platform; owns all servers, clients and state of the process.
 *
 * <pre>{@code
 * switch (Gateway.start(settings)) {
 *     case Result.Ok<Gateway>(Gateway gateway) -> ...
 *     case Result.Err<Gateway>(Failure failure) -> ...
 * }
 * }</pre>
 */
public final class Gateway implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Minimum time until the process exits. The platform checks readiness each second, and
     * redirects callers after two failed checks.
     */
    private static final long MIN_SHUTDOWN_NANOS = 3_500_000_000L;

    /** How long the exit waits for the store to remove this node. */
    private static final long MAX_REMOVAL_MILLIS = 150;

    /** The rest of the tolerance is reserved for grants that other nodes have not reported yet. */
    private static final double QUOTA_TOLERANCE_FRACTION = 0.7;

    /** The pools of seven zones may be overdrawn at once, and leave some for late reports. */
    private static final double POOL_EXCESS_FRACTION = 0.125;

    private static final long POLL_INTERVAL_MILLIS = 50;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final GatewaySettings settings;
    private final DecisionLog log = DecisionLog.create();
    private final LoopMonitor monitor = LoopMonitor.create(log);
    private final ForwardingState state;
    private final Forwarder forwarder;
    private final ControlLoop controlLoop;
    private final TcpPeerNetwork network;
    private final CallerServer frontServer;
    private final StatusServer readinessServer;
    private final StatusServer metricsServer;
    private volatile boolean stopping;

    private Gateway(GatewaySettings settings) {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, monitor.factory(NioIoHandler.newFactory()));
        loop = group.next();
        RandomGenerator random = RandomGenerator.getDefault();
        long startedAt = System.currentTimeMillis();
        String run = NodeStatus.runOf(settings.name(), startedAt);
        EndpointTable endpoints = EndpointTable.create(loop, log);
        endpoints.capacities().setSetting(settings.learnedPlacement());
        state =
                new ForwardingState(
                        run,
                        loop,
                        settings.zone(),
                        endpoints,
                        AccountQuotas.create(
                                settings.bounds().quotaWindow().toNanos(),
                                settings.bounds().quotaTolerance() * QUOTA_TOLERANCE_FRACTION,
                                settings.bounds().quotaExcess() * POOL_EXCESS_FRACTION,
                                random),
                        UsageCounts.create(settings.bounds().usageWindow().toMillis()),
                        log,
                        random,
                        RetryBudgets.create(settings.bounds().retries(), random, System.nanoTime()),
                        StreamVersions.create(settings.firstStart()));
        forwarder = Forwarder.create(state);
        state.onReady(forwarder::serveWaiting);
        state.quarantine().onAdded(forwarder::abandonQuarantined);
        network =
                TcpPeerNetwork.openOn(
                        group,
                        new NodeId(run),
                        settings.peer(),
                        ClusterKeys.of(settings.clusterKeys().stream().map(Bytes::utf8).toList()),
                        TransportSettings.defaults(),
                        InstantSource.system());
        EndpointDirectory directory =
                EndpointDirectory.create(endpoints, settings.bounds().endpointHeartbeat());
        endpoints.onLeaving(entry -> directory.recordLeaving(entry, System.nanoTime()));
        controlLoop =
                new ControlLoop(
                        loop,
                        settings,
                        state,
                        directory,
                        network,
                        run,
                        startedAt,
                        random,
                        monitor.polls(),
                        log);
        state.setNewsAge(controlLoop::endpointNewsAgeMillis);
        frontServer = CallerServer.open(group, settings.callers(), forwarder, monitor.polls(), log);
        readinessServer = StatusServer.open(group, settings.readiness(), this::readinessDocument);
        metricsServer = StatusServer.open(group, settings.metrics(), this::metricsDocument);
        loop.execute(
                () -> {
                    log.line("node.started").add("run", run).add("zone", settings.zone()).write();
                    controlLoop.start();
                });
    }

    /** Starts a node; the failure has the cause, such as an address that cannot be bound. */
    public static Result<Gateway> start(GatewaySettings settings) {
        try {
            return Result.ok(new Gateway(settings));
        } catch (RuntimeException e) {
            return Result.err(FailureKind.NOT_DONE, "gateway.start", "local", settings + ": " + e);
        }
    }

    /**
     * Shuts down gracefully: stops accepting connections, answers open requests, and returns when
     * none is left or the grace period ends. Requests that are unfinished near its end are answered
     * with an error.
     */
    public void stopGracefully() throws InterruptedException {
        long start = System.nanoTime();
        ShutdownAdmission admission =
                ShutdownAdmission.start(start, settings.bounds().stopGrace().toNanos());
        stopping = true;
        loop.execute(
                () -> {
                    log.line("node.stopping").add("open", forwarder.openCalls()).write();
                    forwarder.startStopping(admission);
                    controlLoop.releaseDuties();
                });
        while (true) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            long now = System.nanoTime();
            boolean finished = now - start >= MIN_SHUTDOWN_NANOS && closeIfIdle();
            if (finished || now - admission.exitAtNanos() >= 0) {
                break;
            }
        }
        loop.execute(() -> log.line("node.stopped").add("open", forwarder.openCalls()).write());
    }

    /** Closes the callers' connections if no request is open, so that none is taken any more. */
    private boolean closeIfIdle() throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        boolean[] idle = {false};
        loop.execute(
                () -> {
                    idle[0] = forwarder.openCalls() == 0 && frontServer.closeIfIdle();
                    answered.countDown();
                });
        return answered.await(1, TimeUnit.SECONDS) && idle[0];
    }

    private StatusServer.Document readinessDocument() {
        boolean ready = !stopping && controlLoop.isReady();
        return new StatusServer.Document(
                ready ? OK : UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
    }

    private StatusServer.Document metricsDocument() {
        StringBuilder text = new StringBuilder();
        state.counters().write(text);
        RetryMetrics.write(state.retries(), text);
        state.endpoints().unexpectedAnswers().write(text);
        state.endpoints().news().write(text);
        state.endpoints().capacities().write(text);
        state.quarantine().writeMetrics(text);
        controlLoop.writeMetrics(text);
        monitor.writeMetrics(text);
        text.append("# TYPE carobdoor_gateway_caller_connections gauge\n")
                .append("carobdoor_gateway_caller_connections ")
                .append(frontServer.connectionCount())
                .append("\n# TYPE carobdoor_gateway_endpoint_connections counter\n")
                .append("carobdoor_gateway_endpoint_connections_total ")
                .append(state.endpoints().connectionsOpened())
                .append("\n# TYPE carobdoor_gateway_answer_bytes_held gauge\n")
                .append("carobdoor_gateway_answer_bytes_held ")
                .append(state.endpoints().bufferedResponseBytes())
                .append("\n# TYPE carobdoor_gateway_log_lines_left_out counter\n")
                .append("carobdoor_gateway_log_lines_left_out_total ")
                .append(log.droppedCount())
                .append('\n');
        return new StatusServer.Document(OK, "text/plain; version=0.0.4", text.toString());
    }

    @Override
    public void close() {
        CountDownLatch removed = new CountDownLatch(1);
        loop.execute(
                () -> {
                    controlLoop.stop(removed::countDown);
                    frontServer.close();
                    readinessServer.close();
                    metricsServer.close();
                });
        network.close();
        try {
            boolean unused = removed.await(MAX_REMOVAL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
