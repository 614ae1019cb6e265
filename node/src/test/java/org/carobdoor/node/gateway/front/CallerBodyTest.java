package org.carobdoor.node.gateway.front;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.standins.FreePorts;
import org.junit.jupiter.api.Test;

/** Guards against a body in tiny chunks whose assembly takes time in proportion to its square. */
final class CallerBodyTest {
    private static final int BODY_BYTES = 1_000_000;

    /** A body of four times the size takes four times as long, or 16 times if that is quadratic. */
    private static final double MAX_TIME_RATIO = 8;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());

    @Test
    void timeToAssembleABodyOfTinyChunksGrowsWithItsSize() throws Exception {
        BodySizeHandler handler = new BodySizeHandler(new AtomicInteger());
        try (CallerServer server =
                CallerServer.open(
                        group, address, handler, PollClock.create(), DecisionLog.create())) {
            processorNanosOf(BODY_BYTES);
            double small = processorNanosOf(BODY_BYTES);
            double large = processorNanosOf(4 * BODY_BYTES);
            assertThat(handler.size().get()).isEqualTo(4 * BODY_BYTES);
            assertThat(large / small).isLessThan(MAX_TIME_RATIO);
            assertThat(server.connectionCount()).isAtMost(1);
        } finally {
            group.shutdownGracefully();
        }
    }

    /** Returns the processor time that the event loop takes for a body. */
    private double processorNanosOf(int bodyBytes) throws Exception {
        long before = loopNanos();
        sendTinyChunks(bodyBytes);
        return loopNanos() - before;
    }

    private long loopNanos() throws Exception {
        return group.submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .get(60, TimeUnit.SECONDS);
    }

    private void sendTinyChunks(int bodyBytes) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort());
                OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16)) {
            out.write(ascii("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
            byte[] chunk = ascii("1\r\nx\r\n");
            for (int i = 0; i < bodyBytes; i++) {
                out.write(chunk);
            }
            out.write(ascii("0\r\n\r\n"));
            out.flush();
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Records the size of the last body. */
    private record BodySizeHandler(AtomicInteger size) implements RequestHandler {
        @Override
        public void handle(Exchange exchange) {
            size.set(exchange.body().readableBytes());
            exchange.sendError(ErrorResponse.rejected(404, "test"));
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
