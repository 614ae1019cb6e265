package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
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
import org.carobdoor.node.gateway.forward.Forwarder;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.front.CallerServer;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.LoopMonitor;
import org.carobdoor.platform.ConfigurationDecoder;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that an event loop reads late and sends on with what it knew before: to
 * an endpoint whose leaving lies unread, after the deadline, or after the caller has left.
 */
final class HeldUpLoopTest {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final long STALL_MILLIS = 1_500;

    /** Shorter than the time for which an idle connection to an endpoint is used again. */
    private static final long SHORT_STALL_MILLIS = 900;

    private static final NewsSource WATCH = NewsSource.watch(0);

    private final DecisionLog log = DecisionLog.create();
    private final LoopMonitor monitor = LoopMonitor.create(log);
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, monitor.factory(NioIoHandler.newFactory()));
    private final EventLoop loop = group.next();
    private final InetSocketAddress callers = loopback();
    private final InetSocketAddress news = loopback();
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
    private final RawEndpointStandIn first = endpoint();
    private final RawEndpointStandIn second = endpoint();
    private CallerServer server;
    private long revision = 1;

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    private static RawEndpointStandIn endpoint() {
        return RawEndpointStandIn.start(
                (request, connection) ->
                        connection.write(
                                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                        + request.header("X-Attempt-Id")
                                        + "\r\nContent-Length: 2\r\n\r\nok"));
    }

    private void put(String id, RawEndpointStandIn standIn, boolean accepting) {
        EndpointEntry entry =
                new EndpointEntry(
                        new EndpointId(id),
                        "desk",
                        standIn.address(),
                        new AvailabilityZone("a"),
                        accepting,
                        4,
                        0,
                        1,
                        0,
                        false,
                        OptionalLong.empty());
        directory.put(entry, ++revision, WATCH);
    }

    @BeforeEach
    void start() throws Exception {
        Bytes value = Bytes.of(TestGateway.configuration(1, "").getBytes(StandardCharsets.UTF_8));
        loop.submit(
                        () -> {
                            state.configure(
                                    ConfigurationDecoder.decode(value).orElseThrow(),
                                    System.nanoTime());
                            state.setNodes(1, true, System.nanoTime());
                            state.setConfigured();
                            put("i-1", first, true);
                        })
                .get(5, TimeUnit.SECONDS);
        server = CallerServer.open(group, callers, Forwarder.create(state), monitor.polls(), log);
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
        first.close();
        second.close();
    }

    private static String request(String id, long deadlineMillis) {
        return request("/once/a", id, deadlineMillis);
    }

    private static String request(String path, String id, long deadlineMillis) {
        String deadline = "X-Deadline-Milliseconds: " + deadlineMillis + "\r\n";
        return RawCaller.request("POST", path, id, deadline);
    }

    private void holdUpLoop() {
        holdUpLoop(STALL_MILLIS);
    }

    private void holdUpLoop(long millis) {
        loop.execute(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(millis);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** Opens a connection on which bytes announce that i-1 leaves, as those of a node do. */
    private void listenForNews() {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                ch.pipeline().addLast(new NewsHandler());
                            }
                        })
                .bind(news)
                .syncUninterruptibly();
    }

    private final class NewsHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ReferenceCountUtil.release(msg);
            loop.execute(
                    () -> {
                        put("i-2", second, true);
                        put("i-1", first, false);
                    });
        }
    }

    @Test
    void endpointWhoseLeavingLiesUnreadGetsNoRequest() throws Exception {
        listenForNews();
        try (RawCaller caller = RawCaller.connect(callers);
                Socket informer = new Socket(news.getAddress(), news.getPort())) {
            caller.send(request("/safe/a", "r-1", 2_500));
            assertThat(caller.read("POST").status()).isEqualTo(200);
            TimeUnit.MILLISECONDS.sleep(100);
            holdUpLoop(SHORT_STALL_MILLIS);
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send(request("/safe/a", "r-2", 2_800));
            informer.getOutputStream().write(1);
            assertThat(caller.read("POST").status()).isEqualTo(200);
            assertThat(first.requests()).hasSize(1);
            assertThat(second.requests()).hasSize(1);
        }
    }

    @Test
    void requestReadAfterItsDeadlineIsNotSent() throws Exception {
        try (RawCaller caller = RawCaller.connect(callers)) {
            caller.send(request("r-1", 2_500));
            assertThat(caller.read("POST").status()).isEqualTo(200);
            TimeUnit.MILLISECONDS.sleep(100);
            holdUpLoop();
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send(request("r-2", 1_000));
            assertThat(caller.read("POST").status()).isEqualTo(503);
            assertThat(first.requests()).hasSize(1);
        }
    }

    @Test
    void firstRequestOfAConnectionAcceptedAfterItsDeadlineIsNotSent() throws Exception {
        holdUpLoop();
        TimeUnit.MILLISECONDS.sleep(100);
        try (RawCaller caller = RawCaller.connect(callers)) {
            caller.send(request("r-1", 1_000));
            assertThat(caller.read("POST").status()).isEqualTo(503);
            assertThat(first.requests()).isEmpty();
        }
    }

    @Test
    void requestOfACallerThatHasLeftIsNotSent() throws Exception {
        try (RawCaller caller = RawCaller.connect(callers)) {
            caller.send(request("r-1", 2_500));
            assertThat(caller.read("POST").status()).isEqualTo(200);
            TimeUnit.MILLISECONDS.sleep(100);
            holdUpLoop();
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send(request("r-2", 2_800));
            TimeUnit.MILLISECONDS.sleep(200);
        }
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS + 500);
        assertThat(first.requests()).hasSize(1);
    }
}
