package org.carobdoor.node.gateway.front;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.RawCaller;
import org.junit.jupiter.api.Test;

/** Guards against requests that a node takes after it has found itself idle and is to exit. */
final class CallerServerTest {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());

    @Test
    void noRequestIsTakenOnceAllConnectionsWereIdle() throws Exception {
        QueueingHandler handler = new QueueingHandler(new LinkedBlockingQueue<>());
        try (CallerServer server =
                        CallerServer.open(
                                group, address, handler, PollClock.create(), DecisionLog.create());
                RawCaller caller = RawCaller.connect(address)) {
            caller.send(RawCaller.request("GET", "/a", "first"));
            Exchange exchange = handler.exchanges().poll(5, TimeUnit.SECONDS);
            assertThat(closeIfIdle(server)).isFalse();

            group.submit(() -> exchange.sendError(ErrorResponse.rejected(404, "test"))).sync();
            assertThat(caller.read("GET").status()).isEqualTo(404);
            assertThat(closeIfIdle(server)).isTrue();
            assertThat(caller.isClosedByNode()).isTrue();
            assertThat(handler.exchanges()).isEmpty();
        } finally {
            group.shutdownGracefully();
        }
    }

    private boolean closeIfIdle(CallerServer server) throws Exception {
        return group.submit(server::closeIfIdle).get(5, TimeUnit.SECONDS);
    }

    /** Keeps the requests without answering them. */
    private record QueueingHandler(BlockingQueue<Exchange> exchanges) implements RequestHandler {
        @Override
        public void handle(Exchange exchange) {
            exchanges.add(exchange);
        }

        @Override
        public CallerLimits limits() {
            return CallerLimits.defaults();
        }

        @Override
        public boolean isStopping() {
            return false;
        }
    }
}
