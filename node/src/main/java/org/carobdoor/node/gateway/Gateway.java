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
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.wire.ClusterKeys;
import org.carobdoor.wire.TcpPeerNetwork;
import org.carobdoor.wire.TransportSettings;

/**
 * A node on the users' platform: everything that one process runs.
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

    /** Readiness is asked for each second and missed twice before callers are sent elsewhere. */
    private static final long MIN_STOP_MILLIS = 3_500;

    /** After this time a kept connection's stream would not end before the process does. */
    private static final long REFUSE_STREAMS_MILLIS = 2_800;

    /** Before the end of the grace by this much the last plain requests must have been sent. */
    private static final long REFUSE_ALL_BEFORE_MILLIS = 1_500;

    /** Before the end of the grace by this much the process ends whatever is open. */
    private static final long EXIT_BEFORE_MILLIS = 250;

    /** The rest of the tolerance is left for grants that other nodes have not reported yet. */
    private static final double USED_QUOTA_TOLERANCE = 0.7;

    private static final long POLL_MILLIS = 50;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final GatewaySettings settings;
    private final DecisionLog log = DecisionLog.create();
    private final ForwardingState state;
    private final Forwarder forwarder;
    private final ControlLoop control;
    private final TcpPeerNetwork network;
    private final CallerServer front;
    private final StatusServer readiness;
    private final StatusServer metrics;
    private volatile boolean stopping;

    private Gateway(GatewaySettings settings) {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        RandomGenerator random = RandomGenerator.getDefault();
        EndpointTable endpoints = EndpointTable.create(loop, log);
        state =
                new ForwardingState(
                        loop,
                        settings.zone(),
                        endpoints,
                        AccountQuotas.create(
                                settings.bounds().quotaWindow().toNanos(),
                                settings.bounds().quotaTolerance() * USED_QUOTA_TOLERANCE,
                                random),
                        UsageCounts.create(settings.bounds().usageWindow().toMillis()),
                        log,
                        random,
                        RetryBudgets.create(
                                settings.bounds().retries(), random, System.nanoTime()));
        forwarder = Forwarder.create(state);
        state.onReady(forwarder::serveWaiting);
        long startedAt = System.currentTimeMillis();
        String run = NodeStatus.runOf(settings.name(), startedAt);
        network =
                TcpPeerNetwork.openOn(
                        group,
                        new NodeId(run),
                        settings.peer(),
                        ClusterKeys.of(settings.clusterKeys().stream().map(Bytes::utf8).toList()),
                        TransportSettings.defaults(),
                        InstantSource.system());
        control =
                new ControlLoop(
                        loop,
                        settings,
                        state,
                        EndpointDirectory.create(endpoints),
                        network,
                        run,
                        startedAt,
                        random,
                        log);
        front = CallerServer.open(group, settings.callers(), forwarder, log);
        readiness = StatusServer.open(group, settings.readiness(), this::readinessDocument);
        metrics = StatusServer.open(group, settings.metrics(), this::metricsDocument);
        loop.execute(
                () -> {
                    log.line("node.started").add("run", run).add("zone", settings.zone()).write();
                    control.start();
                });
    }

    /** Starts a node; the failure names the address that could not be bound. */
    public static Result<Gateway> start(GatewaySettings settings) {
        try {
            return Result.ok(new Gateway(settings));
        } catch (RuntimeException e) {
            return Result.err(FailureKind.NOT_DONE, "gateway.start", "local", settings + ": " + e);
        }
    }

    /**
     * Stops without breaking off a request: takes no new connections, answers what is open, and
     * returns when nothing is left or the grace ends.
     */
    public void stopGracefully() throws InterruptedException {
        long start = System.nanoTime();
        long grace = settings.bounds().stopGrace().toMillis();
        stopping = true;
        loop.execute(
                () -> {
                    log.line("node.stopping").add("open", forwarder.openCalls()).write();
                    forwarder.startStopping();
                    control.startStopping();
                });
        boolean refusedStreams = false;
        boolean refusedAll = false;
        while (true) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            if (!refusedStreams && passed >= REFUSE_STREAMS_MILLIS) {
                refusedStreams = true;
                loop.execute(forwarder::refuseStreams);
            }
            if (!refusedAll && passed >= grace - REFUSE_ALL_BEFORE_MILLIS) {
                refusedAll = true;
                loop.execute(forwarder::refuseAll);
            }
            boolean done = passed >= MIN_STOP_MILLIS && isIdle();
            if (done || passed >= grace - EXIT_BEFORE_MILLIS) {
                break;
            }
        }
        loop.execute(() -> log.line("node.stopped").add("open", forwarder.openCalls()).write());
    }

    private boolean isIdle() throws InterruptedException {
        CountDownLatch asked = new CountDownLatch(1);
        boolean[] idle = {false};
        loop.execute(
                () -> {
                    idle[0] = forwarder.openCalls() == 0 && front.busyCount() == 0;
                    asked.countDown();
                });
        return asked.await(1, TimeUnit.SECONDS) && idle[0];
    }

    private StatusServer.Document readinessDocument() {
        boolean ready = !stopping && control.isReady();
        return new StatusServer.Document(
                ready ? OK : UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
    }

    private StatusServer.Document metricsDocument() {
        StringBuilder text = new StringBuilder();
        state.counters().write(text);
        RetryMetrics.write(state.retries(), text);
        control.write(text);
        text.append("# TYPE carobdoor_gateway_caller_connections gauge\n")
                .append("carobdoor_gateway_caller_connections ")
                .append(front.connectionCount())
                .append("\n# TYPE carobdoor_gateway_endpoint_connections counter\n")
                .append("carobdoor_gateway_endpoint_connections_total ")
                .append(state.endpoints().connectionsOpened())
                .append("\n# TYPE carobdoor_gateway_answer_bytes_held gauge\n")
                .append("carobdoor_gateway_answer_bytes_held ")
                .append(state.endpoints().bufferedResponseBytes())
                .append("\n# TYPE carobdoor_gateway_log_lines_left_out counter\n")
                .append("carobdoor_gateway_log_lines_left_out_total ")
                .append(log.leftOut())
                .append('\n');
        return new StatusServer.Document(OK, "text/plain; version=0.0.4", text.toString());
    }

    @Override
    public void close() {
        loop.execute(
                () -> {
                    control.close();
                    front.close();
                    readiness.close();
                    metrics.close();
                });
        network.close();
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
