package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that one software version begins and another one continues, within an
 * answer and when a caller takes a stream up again, also after a restart of all nodes.
 */
final class ResumedStreamVersionTest {
    private static final String EVENT = "id: 1\ndata: begun\n\n";
    private static final String REST = "id: 2\ndata: continued\n\n";
    private static final int STREAMS = 8;

    /** Longer than the interval at which nodes record the streams that they start. */
    private static final long RECORDED_MILLIS = 600;

    private final RawEndpointStandIn old = endpoint();
    private final RawEndpointStandIn newer = endpoint();
    private final List<RawCaller> callers = new ArrayList<>();
    private StoreStandIn store;
    private CloudStandIn cloud;
    private TestGateway node;

    /** Begins each stream and leaves it open; continues one that is resumed, up to its end. */
    private static RawEndpointStandIn endpoint() {
        return RawEndpointStandIn.start(
                (request, connection) -> {
                    boolean resumed = request.head().toLowerCase().contains("last-event-id:");
                    connection.write(
                            "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                    + request.header("X-Attempt-Id")
                                    + "\r\nContent-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + chunk(resumed ? REST : EVENT)
                                    + (resumed ? "0\r\n\r\n" : ""));
                });
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        store.putEndpoint("i-1", "llm", "ready", old.address(), 1, "v1");
        store.putEndpoint("i-2", "llm", "ready", newer.address(), 1, "v2");
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() throws IOException {
        for (RawCaller c : callers) {
            c.close();
        }
        node.close();
        cloud.close();
        store.close();
        old.close();
        newer.close();
    }

    private void begin(String id) throws IOException {
        RawCaller caller = RawCaller.connect(node.callers());
        callers.add(caller);
        caller.send(RawCaller.request("GET", "/llm/" + id, id));
    }

    private int begun() {
        return old.requests().size() + newer.requests().size();
    }

    private void beginStreams() throws Exception {
        for (int i = 0; i < STREAMS; i++) {
            begin("s-" + i);
        }
        TestGateway.await(() -> begun() == STREAMS);
        TimeUnit.MILLISECONDS.sleep(RECORDED_MILLIS);
        assertThat(old.requests()).isNotEmpty();
        assertThat(newer.requests()).isNotEmpty();
    }

    private static boolean has(RawEndpointStandIn endpoint, String id) {
        return endpoint.requests().stream().anyMatch(r -> id.equals(r.header("X-Attempt-Id")));
    }

    private HttpResponse<String> takeUp(String id) {
        HttpRequest request =
                node.request("/llm/" + id)
                        .header("Resumes", id)
                        .header("Last-Event-Id", "1")
                        .GET()
                        .build();
        return node.send(request);
    }

    private void restartNode() throws InterruptedException {
        node.close();
        node = TestGateway.startAgain("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    private void takeUpStreams() {
        for (int i = 0; i < STREAMS; i++) {
            String id = "s-" + i;
            RawEndpointStandIn first = has(old, id) ? old : newer;
            int before = first.requests().size();
            HttpResponse<String> r = takeUp(id);
            assertThat(r.statusCode()).isEqualTo(200);
            assertThat(r.body()).isEqualTo(REST);
            assertThat(first.requests()).hasSize(before + 1);
        }
    }

    @Test
    void streamTakenUpAtItsNodeGoesOnAtTheVersionThatBeganIt() throws Exception {
        beginStreams();
        takeUpStreams();
    }

    @Test
    void streamTakenUpAfterARestartGoesOnAtTheVersionThatBeganIt() throws Exception {
        beginStreams();
        restartNode();
        takeUpStreams();
    }

    /** As after a reset of the node's connections to the store. */
    @Test
    void streamTakenUpRightAfterFailedCallsOfTheStoreGoesOn() throws Exception {
        beginStreams();
        restartNode();
        store.setDown(true);
        TimeUnit.MILLISECONDS.sleep(50);
        store.setDown(false);
        takeUpStreams();
    }

    @Test
    void streamIsRefusedAtOnceWhileTheStoreIsAway() throws Exception {
        beginStreams();
        restartNode();
        store.setDown(true);
        TimeUnit.SECONDS.sleep(2);
        long start = System.nanoTime();
        HttpResponse<String> r = takeUp("s-0");
        assertThat(r.statusCode()).isEqualTo(503);
        assertThat(r.body()).contains("unknown_version");
        assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(400));
    }

    @Test
    void streamIsNotContinuedAfterItsVersionHasLeft() throws Exception {
        beginStreams();
        store.delete("servers/i-1");
        restartNode();
        int before = newer.requests().size();
        int refused = 0;
        for (int i = 0; i < STREAMS; i++) {
            if (has(old, "s-" + i)) {
                HttpResponse<String> r = takeUp("s-" + i);
                assertThat(r.statusCode()).isEqualTo(503);
                assertThat(r.body()).contains("version_gone");
                refused++;
            }
        }
        assertThat(refused).isGreaterThan(0);
        assertThat(newer.requests()).hasSize(before);
    }

    @Test
    void streamThatNoNodeHasRecordedIsNotContinuedWhileTwoVersionsServe() throws Exception {
        beginStreams();
        int before = begun();
        HttpResponse<String> r = takeUp("unheard-of");
        assertThat(r.statusCode()).isEqualTo(503);
        assertThat(r.body()).contains("unknown_version");
        assertThat(begun()).isEqualTo(before);
    }

    @Test
    void brokenStreamDoesNotGoOnAtAnotherVersionWithinItsAnswer() throws Exception {
        beginStreams();
        int before = newer.requests().size();
        old.crash(60_000);
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(newer.requests()).hasSize(before);
    }

    @Test
    void malformedNameOfAStreamIsRejected() {
        HttpRequest twice =
                node.request("/llm/a").header("Resumes", "s-1").header("Resumes", "s-2").build();
        assertThat(node.send(twice).statusCode()).isEqualTo(400);
        HttpRequest tooLong = node.request("/llm/a").header("Resumes", "s".repeat(300)).build();
        assertThat(node.send(tooLong).statusCode()).isEqualTo(400);
    }
}
