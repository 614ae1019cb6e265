package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that loses, alters or repeats requests, or stops serving during faults of
 * the platform. Runs whole nodes against fake platform services and endpoints.
 */
final class GatewayTest {
    private static final String NEW_ROUTE =
            ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":\"/new/\","
                    + "\"kind\":\"safe\",\"service\":\"desk\",\"maxAttempts\":1}";

    private StoreStandIn store;
    private CloudStandIn cloud;
    private BackendStandIn first;
    private BackendStandIn second;
    private BackendStandIn engine;
    private BackendStandIn otherEngine;
    private TestGateway node;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        first = BackendStandIn.start("i-1");
        second = BackendStandIn.start("i-2");
        engine = BackendStandIn.start("i-3");
        otherEngine = BackendStandIn.start("i-4");
        first.register(store, "desk", "ready");
        second.register(store, "desk", "ready");
        engine.register(store, "llm", "ready");
        store.put("op/config", TestGateway.configuration(1, ""));
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() {
        node.close();
        List.of(first, second, engine, otherEngine).forEach(BackendStandIn::close);
        cloud.close();
        store.close();
    }

    private List<BackendStandIn.ExecutedRequest> deskRuns() {
        List<BackendStandIn.ExecutedRequest> runs = new ArrayList<>(first.executedRequests());
        runs.addAll(second.executedRequests());
        return runs;
    }

    @Test
    void requestAndResponseAreForwardedUnchanged() {
        HttpResponse<String> r = node.post("/once/a/../b?x=%20y", "the body");
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).isEqualTo("/once/a/../b?x=%20y|the body");
        assertThat(r.headers().firstValue("X-Server-Stamp").orElse("")).startsWith("stamp-i-");
        BackendStandIn.ExecutedRequest run = deskRuns().getFirst();
        assertThat(run.headers().getFirst("X-Tenant")).isEqualTo("hay");
        assertThat(run.headers().getFirst("X-Expect-Instance")).startsWith("i-");
        assertThat(run.headers().containsKey("Authorization")).isFalse();
        assertThat(Long.parseLong(run.headers().getFirst("X-Deadline-Milliseconds")))
                .isAtMost(2_500L);
    }

    @Test
    void headersThatOnlyTheNodeSetsAreReplaced() {
        node.send(
                node.request("/once/a")
                        .header("X-Tenant", "someone")
                        .header("X-Hold", "7")
                        .header("Kv-From", "10.0.0.1:1/2")
                        .GET()
                        .build());
        BackendStandIn.ExecutedRequest run = deskRuns().getFirst();
        assertThat(run.headers().get("X-Tenant")).containsExactly("hay");
        assertThat(run.headers().containsKey("X-Hold")).isFalse();
        assertThat(run.headers().containsKey("Kv-From")).isFalse();
    }

    @Test
    void unknownKeyAndUnknownRouteAreRefused() {
        HttpRequest wrongKey =
                node.request("/safe/a").setHeader("Authorization", "Bearer other").GET().build();
        assertThat(node.send(wrongKey).statusCode()).isEqualTo(401);
        assertThat(node.get("/nothing/a").statusCode()).isEqualTo(404);
        assertThat(deskRuns()).isEmpty();
    }

    @Test
    void unsafeRequestIsNotRetriedAfterABrokenConnection() {
        first.setMode(BackendStandIn.Mode.CLOSE_WITHOUT_RESPONSE);
        second.setMode(BackendStandIn.Mode.CLOSE_WITHOUT_RESPONSE);
        HttpResponse<String> r = node.post("/once/a", "bid");
        assertThat(r.statusCode()).isEqualTo(502);
        assertThat(r.body()).contains("unknown");
        assertThat(deskRuns()).hasSize(1);
    }

    @Tag("known-red")
    @Test
    void safeRequestIsRetriedElsewhereAfterABrokenConnection() {
        first.setMode(BackendStandIn.Mode.CLOSE_WITHOUT_RESPONSE);
        for (int i = 0; i < 6; i++) {
            assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void requestThatNoEndpointRanIsRefusedAsNotRun() {
        first.setMode(BackendStandIn.Mode.REJECT);
        second.setMode(BackendStandIn.Mode.REJECT);
        HttpResponse<String> r = node.post("/once/a", "bid");
        assertThat(r.statusCode()).isEqualTo(503);
        assertThat(r.body()).contains("not_run");
        assertThat(r.headers().firstValue("Retry-After")).isPresent();
        assertThat(deskRuns()).isEmpty();
    }

    @Test
    void misdirectedRequestsAreRetriedOnlyWithinTheBudget() throws InterruptedException {
        first.setMode(BackendStandIn.Mode.MISDIRECT);
        second.setMode(BackendStandIn.Mode.MISDIRECT);
        int requests = 40;
        try (TestGateway limitedRetriesNode = TestGateway.start("n2", store, cloud, 0)) {
            TestGateway.await(limitedRetriesNode::isReady);
            for (int i = 0; i < requests; i++) {
                assertThat(limitedRetriesNode.get("/safe/a").statusCode()).isEqualTo(503);
            }
        }
        // The retry share in the settings is a fifth of the requests.
        assertThat(first.arrivals() + second.arrivals()).isAtMost(requests + requests / 5);
    }

    @Test
    void restartedNodeHasNoFixedRetriesUntilAllNodesAreListed() throws InterruptedException {
        try (TestGateway restarted = TestGateway.startAgain("n2", store, cloud)) {
            TestGateway.await(restarted::isReady);
            assertThat(restarted.metric("carobdoor_gateway_retries_per_window")).isEqualTo("0.0");
            TestGateway.await(
                    () -> !restarted.metric("carobdoor_gateway_retries_per_window").equals("0.0"));
        }
    }

    @Test
    void streamArrivesCompletely() {
        HttpResponse<String> r = node.post("/llm/a", "prompt");
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(eventIds(r.body())).isEqualTo("1,2,3,4,5");
    }

    @Test
    void brokenStreamResumesElsewhereAfterItsLastCompleteEvent() throws InterruptedException {
        engine.setMode(BackendStandIn.Mode.BREAK_STREAM);
        CompletableFuture<HttpResponse<String>> answer =
                CompletableFuture.supplyAsync(() -> node.post("/llm/a", "prompt"));
        TestGateway.await(() -> engine.executedRequests().size() == 1);
        otherEngine.register(store, "llm", "ready");
        HttpResponse<String> r = answer.join();
        if (otherEngine.executedRequests().isEmpty()) {
            // The second engine was listed too late: the stream must not look complete.
            throw new AssertionError("the stream was not resumed: " + r.body());
        }
        assertThat(eventIds(r.body())).isEqualTo("1,2,3,4,5");
    }

    @Test
    void drainingEndpointGetsNoNewRequests() throws InterruptedException {
        first.register(store, "desk", "draining");
        TestGateway.await(
                () -> {
                    int before = first.executedRequests().size();
                    for (int i = 0; i < 4; i++) {
                        node.get("/safe/a");
                    }
                    return first.executedRequests().size() == before;
                });
        int before = first.executedRequests().size();
        for (int i = 0; i < 10; i++) {
            assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
        }
        assertThat(first.executedRequests()).hasSize(before);
    }

    @Test
    void newConfigurationTakesEffectDespiteMalformedEntries() throws InterruptedException {
        store.put("servers/foreign", "not json");
        store.put("servers/odd", "{\"service\":7}");
        store.put("op/config", TestGateway.configuration(2, NEW_ROUTE));
        TestGateway.await(() -> node.get("/new/a").statusCode() == 200);
    }

    @Test
    void entriesWithoutAnIdDoNotEndTheWatches() throws InterruptedException {
        for (String key : List.of("servers/", "carobdoor/nodes/", "carobdoor/nodes/@")) {
            store.put(key, "127.0.0.1 9");
            store.delete(key);
        }
        first.register(store, "desk", "draining");
        second.register(store, "desk", "draining");
        BackendStandIn third = BackendStandIn.start("i-5");
        try (third;
                TestGateway other = TestGateway.start("n2", store, cloud)) {
            third.register(store, "desk", "ready");
            TestGateway.await(
                    () -> {
                        node.get("/safe/a");
                        return !third.executedRequests().isEmpty();
                    });
            TestGateway.await(other::isReady);
            TestGateway.await(() -> node.nodeCount() == 2);
        }
    }

    @Test
    void nodeRefusesRequestsUntilItKnowsTheNodeCount() throws InterruptedException {
        store.refuseReads("carobdoor/");
        try (TestGateway other = TestGateway.start("n2", store, cloud)) {
            // By then the node has loaded the configuration and the endpoints.
            Thread.sleep(1_000);
            assertThat(other.isReady()).isFalse();
            assertThat(other.get("/safe/a").statusCode()).isEqualTo(503);
            store.refuseReads("");
            TestGateway.await(other::isReady);
            assertThat(other.nodeCount()).isEqualTo(2);
            assertThat(other.get("/safe/a").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void oddEntriesAtStartAndLaterDoNotStopTheWatches() throws InterruptedException {
        List<String> odd =
                List.of(
                        "[".repeat(100_000),
                        "{\"service\":\"desk\",\"address\":\"10.0.0.1:99999\",\"zone\":\"a\","
                                + "\"slots\":1,\"state\":\"ready\",\"sequence\":1}",
                        "{\"service\":\"desk\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
                                + "\"slots\":1e999,\"state\":\"ready\",\"sequence\":1}");
        for (int i = 0; i < odd.size(); i++) {
            store.put("servers/odd-" + i, odd.get(i));
            store.put("carobdoor/nodes/odd@" + i, odd.get(i));
            store.put("carobdoor/quarantine/part-" + i, odd.get(i));
        }
        store.put("carobdoor/nodes/odd@7", "10.0.0.1 99999");
        store.put("carobdoor/nodes/odd@8", "999.0.0.1 80");
        try (TestGateway other = TestGateway.start("n2", store, cloud)) {
            TestGateway.await(other::isReady);
            // Changes that arrive with and after the odd entries still take effect.
            first.register(store, "desk", "draining");
            second.register(store, "desk", "draining");
            for (TestGateway g : List.of(node, other)) {
                TestGateway.await(() -> g.get("/safe/a").statusCode() == 503);
                TestGateway.await(() -> g.nodeCount() == 2);
            }
        }
    }

    @Test
    void nodeWithDeletedEntryRegistersAgain() throws InterruptedException {
        // A node is ready once it can serve, which may be before its own entry is written.
        TestGateway.await(() -> store.keys("carobdoor/nodes/").size() == 1);
        List<String> entries = store.keys("carobdoor/nodes/");
        store.delete(entries.getFirst());
        TestGateway.await(() -> store.keys("carobdoor/nodes/").equals(entries));
    }

    @Test
    void nodeServesDuringStoreOutageAndAfterCompaction() throws InterruptedException {
        store.setDown(true);
        assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
        store.compact();
        store.setDown(false);
        store.put("op/config", TestGateway.configuration(3, NEW_ROUTE));
        TestGateway.await(() -> node.get("/new/a").statusCode() == 200);
    }

    @Test
    void eachWindowIsReportedOnceByOneHolder() throws InterruptedException {
        try (TestGateway other = TestGateway.start("n2", store, cloud)) {
            TestGateway.await(other::isReady);
            for (int i = 0; i < 8; i++) {
                node.get("/safe/a");
                other.get("/safe/a");
            }
            TestGateway.await(() -> !cloud.calls().isEmpty());
            Thread.sleep(1_500);
        }
        Map<String, List<CloudStandIn.Call>> byWindow =
                cloud.calls().stream()
                        .collect(Collectors.groupingBy(c -> c.body().split(",", 2)[0]));
        byWindow.values()
                .forEach(
                        l ->
                                assertThat(l.stream().map(CloudStandIn.Call::body).distinct())
                                        .hasSize(1));
        long counted =
                cloud.calls().stream()
                        .map(CloudStandIn.Call::body)
                        .distinct()
                        .mapToLong(b -> Long.parseLong(b.replaceAll(".*\"hay\":(\\d+).*", "$1")))
                        .sum();
        assertThat(counted).isEqualTo(16);
        assertThat(cloud.calls().stream().map(CloudStandIn.Call::holder).distinct()).hasSize(1);
    }

    @Test
    void openRequestCompletesDuringGracefulShutdown() throws Exception {
        first.setMode(BackendStandIn.Mode.SLOW);
        second.setMode(BackendStandIn.Mode.SLOW);
        CompletableFuture<HttpResponse<String>> answer =
                CompletableFuture.supplyAsync(() -> node.post("/once/a", "bid"));
        TestGateway.await(() -> deskRuns().size() == 1);
        Thread stop = Thread.startVirtualThread(this::stopNode);
        TestGateway.await(() -> !node.isReady());
        assertThat(answer.join().statusCode()).isEqualTo(200);
        stop.join();
    }

    private void stopNode() {
        try {
            node.gateway().stopGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void ambiguousLengthIsRejectedAndClosesTheConnection() throws IOException {
        String head = "POST /once/a HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: x\r\n";
        for (String lengths :
                List.of(
                        "Content-Length: 4\r\nContent-Length: 5\r\n",
                        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                        "Content-Length: -4\r\n",
                        "Transfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            String answer =
                    exchangeRawBytes(head + lengths + "\r\nabcdGET /once/b HTTP/1.1\r\n\r\n");
            assertThat(answer).startsWith("HTTP/1.1 400");
            assertThat(answer.split("HTTP/1.1", -1)).hasLength(2);
        }
        assertThat(deskRuns()).isEmpty();
    }

    @Test
    void oversizedHeadAndBodyAreRejected() throws IOException {
        String head = "POST /once/a HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: x\r\n";
        assertThat(exchangeRawBytes(head + "X-Long: " + "y".repeat(20_000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 431");
        assertThat(exchangeRawBytes(head + "Content-Length: 200000\r\n\r\n"))
                .startsWith("HTTP/1.1 413");
    }

    /** Sends raw bytes and returns those received until the node closes the connection. */
    private String exchangeRawBytes(String request) throws IOException {
        try (Socket s = new Socket("127.0.0.1", node.callers().getPort())) {
            s.setSoTimeout(5_000);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().flush();
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String eventIds(String events) {
        return events.lines()
                .filter(l -> l.startsWith("id: "))
                .map(l -> l.substring(4))
                .collect(Collectors.joining(","));
    }
}
