package org.carobdoor.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.NewsSource;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.resume.StreamVersions;
import org.carobdoor.internal.retries.RetryAllowance;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.endpoint.EndpointTable;
import org.carobdoor.node.gateway.forward.AccountQuotas;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.LoopMonitor;
import org.carobdoor.platform.ConfigurationDecoder;
import org.carobdoor.standins.gateway.RawEndpointStandIn;

/** The forwarding part of a node, without a store or other nodes, on an event loop of the test. */
final class SingleLoopNode implements AutoCloseable {
    static final NewsSource WATCH = NewsSource.watch(0);

    private static final long WINDOW_NANOS = 10_000_000_000L;

    private final DecisionLog log = DecisionLog.create();
    private final LoopMonitor monitor = LoopMonitor.create(log);
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, monitor.factory(NioIoHandler.newFactory()));
    private final EventLoop loop = group.next();
    private final EndpointTable table = EndpointTable.create(loop, log);
    private final EndpointDirectory directory = EndpointDirectory.create(table);
    private final SplittableRandom random = new SplittableRandom(1);
    private final ForwardingState state =
            new ForwardingState(
                    "n1@1",
                    loop,
                    new AvailabilityZone("a"),
                    table,
                    AccountQuotas.create(WINDOW_NANOS, 0.1, 0, random),
                    UsageCounts.create(1_000),
                    log,
                    random,
                    RetryBudgets.create(
                            new RetryAllowance(0, 0, WINDOW_NANOS), random, System.nanoTime()),
                    StreamVersions.create(true));
    private long revision = 1;

    /** Applies the configuration of the tests and lists an endpoint. */
    void start(String id, RawEndpointStandIn endpoint) throws Exception {
        Bytes value = Bytes.of(TestGateway.configuration(1, "").getBytes(StandardCharsets.UTF_8));
        loop.submit(
                        () -> {
                            state.configure(
                                    ConfigurationDecoder.decode(value).orElseThrow(),
                                    System.nanoTime());
                            state.setNodes(1, true, System.nanoTime());
                            state.setConfigured();
                            put(id, endpoint, true, 1);
                        })
                .get(5, TimeUnit.SECONDS);
    }

    /** Applies a write of an entry; must be called on the loop. */
    void put(String id, RawEndpointStandIn standIn, boolean accepting, long startedAt) {
        directory.put(entry(id, standIn, accepting, startedAt), nextRevision(), WATCH);
    }

    long nextRevision() {
        return ++revision;
    }

    static EndpointEntry entry(
            String id, RawEndpointStandIn standIn, boolean accepting, long startedAt) {
        return new EndpointEntry(
                new EndpointId(id),
                "desk",
                standIn.address(),
                new AvailabilityZone("a"),
                accepting,
                4,
                0,
                startedAt,
                0,
                false,
                OptionalLong.empty());
    }

    /** Returns an endpoint that answers each request at once. */
    static RawEndpointStandIn endpoint() {
        return RawEndpointStandIn.start(
                (request, connection) ->
                        connection.write(
                                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                        + request.header("X-Attempt-Id")
                                        + "\r\nContent-Length: 2\r\n\r\nok"));
    }

    EventLoopGroup group() {
        return group;
    }

    EventLoop loop() {
        return loop;
    }

    LoopMonitor monitor() {
        return monitor;
    }

    DecisionLog log() {
        return log;
    }

    ForwardingState state() {
        return state;
    }

    EndpointDirectory directory() {
        return directory;
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }
}
