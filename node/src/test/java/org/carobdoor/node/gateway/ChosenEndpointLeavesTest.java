package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.directory.EndpointDirectory;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.NewsSource;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.resume.StreamVersions;
import org.carobdoor.internal.retries.RetryAllowance;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.endpoint.EndpointTable;
import org.carobdoor.node.gateway.forward.AccountQuotas;
import org.carobdoor.node.gateway.forward.Forwarder;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.front.CallerServer;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.front.RequestHandler;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.ConfigurationDecoder;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that are written to an endpoint which began to leave after it had been
 * chosen, while a connection to it was being opened.
 */
final class ChosenEndpointLeavesTest {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final NewsSource WATCH = NewsSource.watch(0);

    private enum Change {
        DRAINING,
        REMOVED,
        RESTARTED,
        SAYS_THAT_IT_LEAVES
    }

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InetSocketAddress callers =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private final DecisionLog log = DecisionLog.create();
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
    private final RawEndpointStandIn chosen = endpoint();
    private final RawEndpointStandIn other = endpoint();
    private long revision = 1;

    private static RawEndpointStandIn endpoint() {
        return RawEndpointStandIn.start(
                (request, connection) ->
                        connection.write(
                                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                        + request.header("X-Attempt-Id")
                                        + "\r\nContent-Length: 2\r\n\r\nok"));
    }

    private void put(String id, RawEndpointStandIn standIn, boolean accepting, long startedAt) {
        directory.put(entry(id, standIn, accepting, startedAt), ++revision, WATCH);
    }

    private static EndpointEntry entry(
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

    @BeforeEach
    void start() throws Exception {
        String configuration = TestGateway.configuration(1, "");
        Bytes value = Bytes.of(configuration.getBytes(StandardCharsets.UTF_8));
        loop.submit(
                        () -> {
                            state.configure(
                                    ConfigurationDecoder.decode(value).orElseThrow(),
                                    System.nanoTime());
                            state.setNodes(1, true, System.nanoTime());
                            state.setConfigured();
                            put("i-1", chosen, true, 1);
                        })
                .get(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
        chosen.close();
        other.close();
    }

    private void apply(Change change) {
        put("i-2", other, true, 1);
        switch (change) {
            case DRAINING -> put("i-1", chosen, false, 1);
            case REMOVED -> directory.remove(new EndpointId("i-1"), ++revision, WATCH, 0);
            case RESTARTED -> put("i-1", chosen, false, 2);
            case SAYS_THAT_IT_LEAVES ->
                    directory.recordLeaving(entry("i-1", chosen, true, 1), System.nanoTime());
            default -> throw new AssertionError(change);
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestGoesToAnotherEndpoint(Change change) throws Exception {
        Forwarder forwarder = Forwarder.create(state);
        RequestHandler handler =
                new RequestHandler() {
                    @Override
                    public void handle(Exchange exchange) {
                        forwarder.handle(exchange);
                        apply(change);
                    }

                    @Override
                    public CallerLimits limits() {
                        return forwarder.limits();
                    }

                    @Override
                    public boolean isStopping() {
                        return false;
                    }
                };
        try (CallerServer server =
                        CallerServer.open(group, callers, handler, PollClock.create(), log);
                RawCaller caller = RawCaller.connect(callers)) {
            assertThat(server.connectionCount()).isAtLeast(0);
            caller.send(RawCaller.request("POST", "/once/a", "r-1"));
            assertThat(caller.read("POST").status()).isEqualTo(200);
            assertThat(other.requests()).hasSize(1);
            assertThat(chosen.requests()).isEmpty();
        }
    }
}
