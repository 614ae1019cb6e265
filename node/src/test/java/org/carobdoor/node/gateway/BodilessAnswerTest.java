package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Connection;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bytes after an answer that has no body by the protocol: its caller would read them
 * as the answer to the next request on the connection.
 */
final class BodilessAnswerTest {
    private static final int SILENT_MILLIS = 30;

    private StoreStandIn store;
    private CloudStandIn cloud;
    private RawEndpointStandIn desk;
    private RawEndpointStandIn engine;
    private TestGateway node;
    private volatile String answer = "";
    private volatile String more = "";

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        desk = RawEndpointStandIn.start(this::respond);
        engine = RawEndpointStandIn.start(this::respond);
        desk.register(store, "i-1", "desk");
        engine.register(store, "i-2", "llm");
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() {
        node.close();
        desk.close();
        engine.close();
        cloud.close();
        store.close();
    }

    private void respond(Request request, Connection connection) throws IOException {
        String id = "X-Server-Stamp: s\r\nX-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
        if (request.head().contains("/next")) {
            connection.write("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\n\r\nown");
        } else if (request.head().contains("/broken")) {
            connection.close();
        } else if (!request.head().contains("/silent")) {
            String all = answer.replace("|", "\r\n");
            int end = all.lastIndexOf("HTTP/1.1");
            int line = all.indexOf("\r\n", end) + 2;
            connection.write(all.substring(0, line) + id + all.substring(line) + "\r\n" + more);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "401, /once/a, 'Authorization: Bearer other|X-Deadline-Milliseconds: 2500'",
        "404, /nothing/a, ''",
        "400, /once/a, 'X-Deadline-Milliseconds: no number'",
        "502, /once/broken, ''",
        "504, /once/silent, 'X-Deadline-Milliseconds: 200'",
        "504, /llm/silent, 'X-Deadline-Milliseconds: 200'",
        "502, /llm/broken, ''",
        "503, /once/late, 'X-Deadline-Milliseconds: 1'"
    })
    void refusedHeadRequestIsFollowedByTheNextAnswer(int status, String path, String headers)
            throws IOException {
        String own = headers.isEmpty() ? "" : headers.replace("|", "\r\n") + "\r\n";
        String request = RawCaller.request("HEAD", path, "head-1", own);
        if (own.contains("Authorization")) {
            request = request.replace("Authorization: Bearer key-1\r\n", "");
        }
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(request);
            RawCaller.Answer a = caller.read("HEAD");
            assertThat(a.status()).isEqualTo(status);
            assertThat(a.header("Transfer-Encoding")).isEmpty();
            checkNext(caller);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HEAD, /once/a, 200, 'HTTP/1.1 200 OK|Content-Length: 11|'",
        "HEAD, /once/a, 200, 'HTTP/1.1 200 OK|Transfer-Encoding: chunked|'",
        "HEAD, /once/a, 200, 'HTTP/1.1 200 OK|'",
        "HEAD, /once/a, 500, 'HTTP/1.1 500 X|Content-Length: 11|'",
        "HEAD, /once/a, 200, 'HTTP/1.1 103 Early Hints|Link: </a>||HTTP/1.1 200 OK|'",
        "HEAD, /llm/a, 200, 'HTTP/1.1 200 OK|Content-Length: 11|'",
        "HEAD, /llm/a, 200, 'HTTP/1.1 200 OK|Transfer-Encoding: chunked|'",
        "HEAD, /llm/a, 200, 'HTTP/1.1 200 OK|'",
        "HEAD, /llm/a, 404, 'HTTP/1.1 404 X|Content-Length: 11|'",
        "GET, /once/a, 204, 'HTTP/1.1 204 No Content|'",
        "GET, /once/a, 204, 'HTTP/1.1 204 No Content|Content-Length: 0|'",
        "GET, /llm/a, 204, 'HTTP/1.1 204 No Content|'",
        "GET, /llm/a, 204, 'HTTP/1.1 204 No Content|Content-Length: 0|'",
        "GET, /llm/a, 204, 'HTTP/1.1 103 Early Hints|Link: </a>||HTTP/1.1 204 No Content|'",
        "GET, /once/a, 200, 'HTTP/1.1 101 X|Upgrade: y||HTTP/1.1 200 OK|Content-Length: 0|'",
        "GET, /once/a, 205, 'HTTP/1.1 205 Reset Content|Content-Length: 0|'",
        "GET, /once/a, 205, 'HTTP/1.1 205 Reset Content|Transfer-Encoding: chunked||0|'",
        "GET, /llm/a, 205, 'HTTP/1.1 205 Reset Content|Content-Length: 0|'",
        "GET, /llm/a, 205, 'HTTP/1.1 205 Reset Content|Transfer-Encoding: chunked||0|'",
        "GET, /once/a, 304, 'HTTP/1.1 304 Not Modified|'",
        "GET, /once/a, 304, 'HTTP/1.1 304 Not Modified|Content-Length: 11|'",
        "GET, /llm/a, 304, 'HTTP/1.1 304 Not Modified|Content-Length: 11|'"
    })
    void answerWithoutABodyIsFollowedByTheNextAnswer(
            String method, String path, int status, String endpointAnswer) throws IOException {
        answer = endpointAnswer;
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(RawCaller.request(method, path, "bodiless-1"));
            RawCaller.Answer a = caller.read(method);
            assertThat(a.status()).isEqualTo(status);
            assertThat(a.body()).isEmpty();
            assertThat(a.header("X-Attempt-Id")).isEqualTo("bodiless-1");
            checkNext(caller);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/a", "/llm/a"})
    void resetContentWithABodyIsNotForwarded(String path) throws IOException {
        answer = "HTTP/1.1 205 Reset Content|Content-Length: 2|";
        more = "ab";
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(RawCaller.request("GET", path, "reset-1"));
            assertThat(caller.read("GET").status()).isEqualTo(502);
            checkNext(caller);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HEAD, /once/a, 'HTTP/1.1 200 OK|Content-Length: 11|', 11",
        "HEAD, /llm/a, 'HTTP/1.1 200 OK|Content-Length: 11|', 11",
        "HEAD, /once/a, 'HTTP/1.1 200 OK|', ''",
        "HEAD, /once/a, 'HTTP/1.1 200 OK|Transfer-Encoding: chunked|', ''",
        "GET, /once/a, 'HTTP/1.1 304 Not Modified|Content-Length: 11|', 11",
        "GET, /once/a, 'HTTP/1.1 304 Not Modified|', ''",
        "GET, /once/a, 'HTTP/1.1 204 No Content|', ''"
    })
    void lengthOfABodyThatIsNotSentIsTheEndpoints(
            String method, String path, String endpointAnswer, String length) throws IOException {
        answer = endpointAnswer;
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(RawCaller.request(method, path, "bodiless-1"));
            assertThat(caller.read(method).header("Content-Length")).isEqualTo(length);
            checkNext(caller);
        }
    }

    private static void checkNext(RawCaller caller) throws IOException {
        for (int i = 0; i < 2; i++) {
            String id = "next-" + i;
            caller.send(RawCaller.request("GET", "/once/next", id));
            RawCaller.Answer next = caller.read("GET");
            assertWithMessage("next answer: %s", next).that(next.status()).isEqualTo(200);
            assertThat(next.header("X-Attempt-Id")).isEqualTo(id);
            assertThat(next.body()).isEqualTo("own");
        }
        assertThat(caller.isSilent(SILENT_MILLIS)).isTrue();
    }
}
