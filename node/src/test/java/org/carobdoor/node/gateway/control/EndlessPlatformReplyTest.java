package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.StoreCalls;
import org.carobdoor.standins.gateway.EndlessResponseStandIn;
import org.carobdoor.standins.gateway.EndlessResponseStandIn.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against endless replies of the store or the cloud API that exhaust a node's memory. */
final class EndlessPlatformReplyTest {
    /** The calls that a node has open at once: three watches, its leases, and the duties. */
    private static final int CALLS = 8;

    /** Half of the direct memory that the deployed daemon may use. */
    private static final long MAX_HELD_BYTES = 80L << 20;

    private static final long MAX_REPLY_BYTES = 40L << 20;

    private static final long TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void endlessReplyEndsTheCallAndItsMemoryIsReleased(Kind kind) throws Exception {
        EventLoop loop = (EventLoop) group.next();
        long before = heldBytes();
        try (EndlessResponseStandIn platform = EndlessResponseStandIn.start(kind)) {
            PlatformClient client =
                    new PlatformClient(
                            loop, platform.address(), MAX_REPLY_BYTES, DecisionLog.create());
            List<CompletableFuture<PlatformClient.Outcome>> outcomes = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                CompletableFuture<PlatformClient.Outcome> outcome = new CompletableFuture<>();
                outcomes.add(outcome);
                loop.execute(
                        () ->
                                client.call(
                                        StoreCalls.range("x", ""),
                                        TIMEOUT_MILLIS,
                                        outcome::complete));
            }
            long held = 0;
            while (outcomes.stream().anyMatch(o -> !o.isDone())) {
                held = Math.max(held, heldBytes() - before);
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertThat(held).isLessThan(MAX_HELD_BYTES);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (platform.openAnswers() > 0 && System.nanoTime() - deadline < 0) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertThat(platform.openAnswers()).isEqualTo(0);
        }
        loop.submit(() -> {}).get(5, TimeUnit.SECONDS);
        assertThat(heldBytes() - before).isLessThan(1L << 20);
    }

    /** Returns what the buffers of this process hold; the tests run with the unpooled allocator. */
    private static long heldBytes() {
        ByteBufAllocatorMetric metric =
                ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric();
        return metric.usedDirectMemory() + metric.usedHeapMemory();
    }
}
