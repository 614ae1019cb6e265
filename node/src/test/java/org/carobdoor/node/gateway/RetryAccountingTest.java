package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Connection;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests that reach endpoints again without a retry from the budget. */
final class RetryAccountingTest {
    private static final int NODES = 3;
    private static final int ENDPOINTS = 3;
    private static final int CALLERS_PER_NODE = 6;
    private static final int REQUESTS_PER_CALLER = 20;
    private static final long HOLD_MILLIS = 700;
    private static final String EVENT = "id: 1\ndata: a\n\n";

    /** What an endpoint does with most requests; it answers the others soundly. */
    private enum Fault {
        ERROR,
        ERROR_WITHOUT_ID,
        HELD,
        RESET,
        CLOSED_WHEN_IDLE,
        MISDIRECTED,
        REFUSED,
        ANSWERED_TWICE,
        ANSWER_CUT_OFF,
        CRASH,
        ANY
    }

    private StoreStandIn store;
    private CloudStandIn cloud;
    private final List<TestGateway> nodes = new ArrayList<>();
    private final List<RawEndpointStandIn> endpoints = new ArrayList<>();
    private final Random random = new Random(36);

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
    }

    @AfterEach
    void stop() {
        nodes.forEach(TestGateway::close);
        endpoints.forEach(RawEndpointStandIn::close);
        cloud.close();
        store.close();
    }

    private static String answer(Request request, int status, String more, String body) {
        return head(request, status, more) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String head(Request request, int status, String more) {
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Attempt-Id: "
                + request.header("X-Attempt-Id")
                + "\r\n"
                + more;
    }

    private static String success(Request request) {
        String type = isStream(request) ? "Content-Type: text/event-stream\r\n" : "";
        String body = isStream(request) ? EVENT : "done";
        return answer(request, 200, "X-Server-Stamp: s\r\n" + type, body);
    }

    private static boolean isStream(Request request) {
        return request.head().startsWith("POST /llm/");
    }

    private synchronized boolean isFaulty() {
        return random.nextInt(10) < 8;
    }

    /** Crashes are rare, because a request that has crashed several endpoints is refused. */
    private synchronized boolean isCrashing() {
        return random.nextInt(10) == 0;
    }

    private synchronized Fault draw(Fault fault) {
        Fault[] all = Fault.values();
        return fault == Fault.ANY ? all[random.nextInt(all.length - 1)] : fault;
    }

    private void respond(int endpoint, Fault kind, Request request, Connection connection)
            throws IOException {
        if (!isFaulty()) {
            connection.write(success(request));
            return;
        }
        switch (draw(kind)) {
            case ERROR -> connection.write(answer(request, 500, "", "failed"));
            case ERROR_WITHOUT_ID ->
                    connection.write("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
            case HELD -> {
                pause(HOLD_MILLIS);
                connection.write(answer(request, 504, "", "late"));
            }
            case RESET -> connection.reset();
            case CLOSED_WHEN_IDLE -> {
                connection.write(success(request));
                connection.close();
            }
            case MISDIRECTED -> connection.write(answer(request, 421, "", ""));
            case REFUSED -> connection.write(answer(request, 503, "X-Not-Executed: 1\r\n", "full"));
            case ANSWERED_TWICE -> {
                connection.write(success(request) + success(request));
            }
            case ANSWER_CUT_OFF -> {
                connection.write(
                        head(request, 200, "X-Server-Stamp: s\r\nContent-Length: 99\r\n\r\nhalf"));
                connection.close();
            }
            case CRASH -> {
                if (isCrashing()) {
                    endpoints.get(endpoint).crash(HOLD_MILLIS / 2);
                } else {
                    connection.write(success(request));
                }
            }
            default -> throw new IllegalStateException("not a fault of its own");
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startAll(Fault fault) throws InterruptedException {
        for (String service : List.of("desk", "llm")) {
            for (int i = 0; i < ENDPOINTS; i++) {
                int index = endpoints.size();
                RawEndpointStandIn e =
                        RawEndpointStandIn.start((r, c) -> respond(index, fault, r, c));
                e.register(store, "i-" + index, service);
                endpoints.add(e);
            }
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(TestGateway.start("n" + i, store, cloud));
        }
        for (TestGateway node : nodes) {
            TestGateway.await(() -> node.isReady() && node.nodeCount() == NODES);
        }
    }

    private static void call(TestGateway node, int caller, int number) {
        String path = caller + "-" + number;
        try {
            switch (number % 3) {
                case 0 -> node.get("/safe/" + path);
                case 1 -> node.post("/once/" + path, "bid");
                default -> node.post("/llm/" + path, "prompt");
            }
        } catch (UncheckedIOException e) {
            // A stream that the node has cut off.
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    private void callAll() throws InterruptedException {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (TestGateway node : nodes) {
                for (int c = 0; c < CALLERS_PER_NODE; c++) {
                    int caller = c;
                    callers.execute(
                            () -> {
                                for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
                                    call(node, caller, i);
                                }
                            });
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void noRequestReachesEndpointsAgainWithoutARetryFromTheBudget(Fault fault) throws Exception {
        startAll(fault);
        callAll();
        Map<String, Integer> arrivals = new HashMap<>();
        endpoints.forEach(
                e ->
                        e.requests()
                                .forEach(
                                        r ->
                                                arrivals.merge(
                                                        r.header("X-Attempt-Id"),
                                                        1,
                                                        Integer::sum)));
        int repeats = arrivals.values().stream().mapToInt(n -> n - 1).sum();
        long granted = total("carobdoor_gateway_retries_total", "granted");
        assertThat(arrivals).isNotEmpty();
        assertWithMessage("arrivals beyond the first of %s requests", arrivals.size())
                .that(repeats)
                .isAtMost((int) granted);
    }

    private long total(String name, String label) {
        return nodes.stream().mapToLong(n -> n.total(name, label)).sum();
    }
}
