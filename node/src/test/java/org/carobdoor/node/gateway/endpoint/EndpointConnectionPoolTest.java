package org.carobdoor.node.gateway.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that still count as open after they have been closed. */
final class EndpointConnectionPoolTest {
    private static final int MAX_OPEN = 2;

    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private ServerSocket endpoint;
    private EndpointConnectionPool pool;

    @BeforeEach
    void start() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        endpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        pool =
                new EndpointConnectionPool(
                        loop,
                        (InetSocketAddress) endpoint.getLocalSocketAddress(),
                        MAX_OPEN,
                        ResponseBufferLimit.create(1_000),
                        nanos -> {},
                        head -> {},
                        () -> {},
                        answer -> {});
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
        endpoint.close();
    }

    private EndpointConnection acquire(long maxIdleNanos) throws Exception {
        CompletableFuture<EndpointConnection> acquired = new CompletableFuture<>();
        loop.execute(
                () ->
                        pool.acquire(
                                maxIdleNanos,
                                new EndpointConnectionPool.AcquireListener() {
                                    @Override
                                    public void onAcquired(EndpointConnection connection) {
                                        acquired.complete(connection);
                                    }

                                    @Override
                                    public void onFailure(String detail) {
                                        acquired.completeExceptionally(new AssertionError(detail));
                                    }
                                }));
        return acquired.get(5, TimeUnit.SECONDS);
    }

    private int openCount() throws Exception {
        return loop.submit(pool::openCount).get(5, TimeUnit.SECONDS);
    }

    @Test
    void expiredConnectionsMakeRoomForANewOneAtOnce() throws Exception {
        EndpointConnection first = acquire(Long.MAX_VALUE);
        EndpointConnection second = acquire(Long.MAX_VALUE);
        loop.submit(
                        () -> {
                            pool.release(first);
                            pool.release(second);
                        })
                .sync();
        assertThat(acquire(-1)).isNotSameInstanceAs(second);
        assertThat(openCount()).isEqualTo(1);
    }

    @Test
    void failedConnectionAttemptIsCountedOnce() throws Exception {
        endpoint.close();
        for (int i = 0; i < 3; i++) {
            assertThrows(ExecutionException.class, () -> acquire(Long.MAX_VALUE));
            assertThat(openCount()).isEqualTo(0);
        }
    }

    @Test
    void connectionThatIsReleasedAfterItsEndpointWasRemovedIsClosed() throws Exception {
        EndpointConnection c = acquire(Long.MAX_VALUE);
        loop.submit(
                        () -> {
                            pool.close();
                            pool.release(c);
                        })
                .sync();
        assertThat(openCount()).isEqualTo(0);
    }
}
