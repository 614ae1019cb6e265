package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.EndlessResponseStandIn;
import org.carobdoor.standins.gateway.EndlessResponseStandIn.Kind;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against endless heads or bodies of endpoints that exhaust a node's memory. */
final class EndlessAnswerTest {
    /** The memory limit of a node for all responses, plus the same amount in socket buffers. */
    private static final long MAX_SENT_BYTES = 64L << 20;

    private static final long MAX_HELD_BYTES = 32L << 20;

    /** Fewer than the connections that the configuration allows to the service. */
    private static final int CALLERS = 45;

    /** Half of the memory that the buffers of the deployed daemon may take. */
    private static final long MAX_BUFFER_BYTES = 80L << 20;

    private static final long MAX_REMAINING_BYTES = 1L << 20;

    /** Longest acceptable delay of a request that has nothing to do with an endless response. */
    private static final long MAX_DELAY_MILLIS = 500;

    /** Statuses with which a node reports to a caller that it has no response. */
    private static final List<Integer> FAILURES = List.of(502, 503, 504);

    private StoreStandIn store;
    private CloudStandIn cloud;

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
    }

    @AfterEach
    void stop() {
        cloud.close();
        store.close();
    }

    private TestGateway startReadyNode() throws InterruptedException {
        TestGateway node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
        return node;
    }

    private static long heldBytes(TestGateway node) {
        return Long.parseLong(node.metric("carobdoor_gateway_answer_bytes_held"));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void endlessResponseIsAbortedAndItsMemoryIsReleased(Kind kind) throws InterruptedException {
        try (EndlessResponseStandIn endless = EndlessResponseStandIn.start(kind)) {
            endless.register(store, "i-1", kind == Kind.EVENT ? "llm" : "desk");
            try (TestGateway node = startReadyNode()) {
                String path = kind == Kind.EVENT ? "/llm/a" : "/safe/a";
                assertThat(FAILURES).contains(node.post(path, "").statusCode());
                TestGateway.await(() -> endless.openAnswers() == 0);
                assertThat(endless.sentBytes()).isGreaterThan(0L);
                assertThat(endless.sentBytes()).isAtMost(MAX_SENT_BYTES);
                assertThat(heldBytes(node)).isEqualTo(0);
            }
        }
    }

    @Test
    void endlessRejectionIsReportedAsNotRun() throws InterruptedException {
        try (EndlessResponseStandIn endless = EndlessResponseStandIn.start(Kind.REJECTION)) {
            endless.register(store, "i-1", "desk");
            try (TestGateway node = startReadyNode()) {
                assertThat(node.post("/once/a", "bid").statusCode()).isEqualTo(503);
                assertThat(endless.sentBytes()).isGreaterThan(0L);
            }
        }
    }

    @Test
    void otherRequestsAreNotDelayedByBodiesInTinyChunks() throws InterruptedException {
        try (EndlessResponseStandIn endless = EndlessResponseStandIn.start(Kind.CHUNKS);
                BackendStandIn engine = BackendStandIn.start("i-2");
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            endless.register(store, "i-1", "desk");
            engine.register(store, "llm", "ready");
            try (TestGateway node = startReadyNode()) {
                assertThat(node.post("/llm/a", "prompt").statusCode()).isEqualTo(200);
                CompletableFuture<Integer> answer =
                        CompletableFuture.supplyAsync(
                                () -> node.get("/safe/a").statusCode(), threads);
                long longestNanos = 0;
                while (!answer.isDone()) {
                    long start = System.nanoTime();
                    assertThat(node.post("/llm/a", "prompt").statusCode()).isEqualTo(200);
                    longestNanos = Math.max(longestNanos, System.nanoTime() - start);
                }
                assertThat(FAILURES).contains(answer.join());
                assertThat(TimeUnit.NANOSECONDS.toMillis(longestNanos))
                        .isLessThan(MAX_DELAY_MILLIS);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "EVENT")
    void otherRequestsAreServedDuringManyEndlessResponses(Kind kind) throws InterruptedException {
        try (EndlessResponseStandIn endless = EndlessResponseStandIn.start(kind);
                BackendStandIn engine = BackendStandIn.start("i-2");
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            endless.register(store, "i-1", "desk");
            engine.register(store, "llm", "ready");
            long buffersBefore = bufferBytes();
            try (TestGateway node = startReadyNode()) {
                List<CompletableFuture<Integer>> answers = new ArrayList<>();
                for (int i = 0; i < CALLERS; i++) {
                    answers.add(
                            CompletableFuture.supplyAsync(
                                    () -> node.get("/safe/a").statusCode(), threads));
                }
                while (answers.stream().anyMatch(a -> !a.isDone())) {
                    assertThat(node.post("/llm/a", "prompt").statusCode()).isEqualTo(200);
                    assertThat(heldBytes(node)).isAtMost(MAX_HELD_BYTES);
                    assertThat(bufferBytes() - buffersBefore).isLessThan(MAX_BUFFER_BYTES);
                }
                answers.forEach(a -> assertThat(FAILURES).contains(a.join()));
                TestGateway.await(() -> endless.openAnswers() == 0);
                assertThat(heldBytes(node)).isEqualTo(0);
                TestGateway.await(() -> bufferBytes() - buffersBefore < MAX_REMAINING_BYTES);
            }
        }
    }

    /** Returns what the buffers of this process hold; the tests run with the unpooled allocator. */
    private static long bufferBytes() {
        ByteBufAllocatorMetric metric =
                ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric();
        return metric.usedDirectMemory() + metric.usedHeapMemory();
    }
}
