package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.forward.Forwarder;
import org.carobdoor.node.gateway.front.CallerServer;
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
    private static final long STALL_MILLIS = 1_500;

    /** Shorter than the time for which an idle connection to an endpoint is used again. */
    private static final long SHORT_STALL_MILLIS = 900;

    private final SingleLoopNode node = new SingleLoopNode();
    private final InetSocketAddress callers = loopback();
    private final InetSocketAddress news = loopback();
    private final RawEndpointStandIn first = SingleLoopNode.endpoint();
    private final RawEndpointStandIn second = SingleLoopNode.endpoint();
    private CallerServer server;

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    @BeforeEach
    void start() throws Exception {
        node.start("i-1", first);
        Forwarder forwarder = Forwarder.create(node.state());
        server =
                CallerServer.open(
                        node.group(), callers, forwarder, node.monitor().polls(), node.log());
    }

    @AfterEach
    void stop() {
        server.close();
        node.close();
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
        node.loop()
                .execute(
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
                .group(node.group())
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
            node.loop()
                    .execute(
                            () -> {
                                node.put("i-2", second, true, 1);
                                node.put("i-1", first, false, 1);
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
