package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Connection;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers on a caller's connection that belong to another of its requests, or to
 * none: endpoints repeat answers, or answer after the node has done so itself.
 */
final class AnswerOrderTest {
    private static final int CONNECTIONS = 40;
    private static final int MAX_REQUESTS = 12;
    private static final int LATE_MILLIS = 300;
    private static final int SILENT_MILLIS = 400;
    private static final String LATE_DEADLINE = "X-Deadline-Milliseconds: 120\r\n";

    /** How an endpoint answers, by the path of the request. */
    private enum Kind {
        SOUND,
        LATE,
        TWICE,
        TWICE_WITHOUT_ID,
        TWICE_LATER,
        BROKEN,
        STREAM,
        STREAM_TWICE,
        STREAM_LATE,
        NO_ROUTE,
        WRONG_KEY,
        SOUND_HEAD,
        NO_ROUTE_HEAD
    }

    private StoreStandIn store;
    private CloudStandIn cloud;
    private RawEndpointStandIn desk;
    private RawEndpointStandIn engine;
    private TestGateway node;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        desk = RawEndpointStandIn.start(AnswerOrderTest::respond);
        engine = RawEndpointStandIn.start(AnswerOrderTest::respond);
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

    private static void respond(Request request, Connection connection) throws IOException {
        String path = request.head().split(" ", 3)[1];
        String id = request.header("X-Attempt-Id");
        String own = answer(id, id, request.head().startsWith("HEAD"));
        switch (Kind.valueOf(path.substring(path.lastIndexOf('/') + 1))) {
            case LATE -> {
                sleep(LATE_MILLIS);
                connection.write(own);
            }
            case TWICE -> connection.write(own + own);
            case TWICE_WITHOUT_ID -> connection.write(own + answer("", "extra", false));
            case TWICE_LATER -> {
                connection.write(own);
                Thread.startVirtualThread(() -> repeat(connection, own));
            }
            case BROKEN -> connection.close();
            case STREAM -> connection.write(stream(id));
            case STREAM_TWICE -> connection.write(stream(id) + stream(id));
            case STREAM_LATE -> {
                String stream = stream(id);
                int cut = stream.indexOf("id: 2");
                connection.write(stream.substring(0, cut));
                sleep(LATE_MILLIS);
                connection.write(stream.substring(cut) + own);
            }
            default -> connection.write(own);
        }
    }

    private static void repeat(Connection connection, String answer) {
        try {
            sleep(LATE_MILLIS / 10);
            connection.write(answer);
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private static String answer(String id, String body, boolean bodiless) {
        return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                + (id.isEmpty() ? "" : "X-Attempt-Id: " + id + "\r\n")
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + (bodiless ? "" : body);
    }

    private static String events(String id) {
        return "id: 1\ndata: " + id + "\n\nid: 2\ndata: " + id + "\n\n";
    }

    private static String stream(String id) {
        return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                + "X-Attempt-Id: "
                + id
                + "\r\nContent-Length: "
                + events(id).length()
                + "\r\n\r\n"
                + events(id);
    }

    private static void sleep(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private record Sent(Kind kind, String id) {
        String method() {
            return kind.name().endsWith("HEAD") ? "HEAD" : "GET";
        }

        String text() {
            return switch (kind) {
                case LATE -> RawCaller.request("GET", "/once/" + kind, id, LATE_DEADLINE);
                case STREAM, STREAM_TWICE -> RawCaller.request("GET", "/llm/" + kind, id);
                case STREAM_LATE -> RawCaller.request("GET", "/llm/" + kind, id);
                case NO_ROUTE, NO_ROUTE_HEAD -> RawCaller.request(method(), "/none/" + kind, id);
                case WRONG_KEY ->
                        RawCaller.request(method(), "/once/" + kind, id).replace("key-1", "other");
                default -> RawCaller.request(method(), "/once/" + kind, id);
            };
        }

        /** Fails unless {@code a} is an answer to this request. */
        void check(String name, RawCaller.Answer a) {
            String message = name + ": answer to " + this + ": " + a;
            switch (kind) {
                case SOUND, SOUND_HEAD, STREAM -> assertThat(a.status()).isAnyOf(200, 502);
                case LATE -> assertWithMessage(message).that(a.status()).isAnyOf(504, 502);
                case BROKEN -> assertWithMessage(message).that(a.status()).isEqualTo(502);
                case NO_ROUTE, NO_ROUTE_HEAD ->
                        assertWithMessage(message).that(a.status()).isEqualTo(404);
                case WRONG_KEY -> assertWithMessage(message).that(a.status()).isEqualTo(401);
                default -> assertWithMessage(message).that(a.status()).isAnyOf(200, 502);
            }
            if (a.status() == 200) {
                assertWithMessage(message).that(a.header("X-Attempt-Id")).isEqualTo(id);
                String body = kind.name().startsWith("STREAM") ? events(id) : id;
                assertWithMessage(message)
                        .that(a.body())
                        .isEqualTo(kind == Kind.SOUND_HEAD ? "" : body);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void answersToPipelinedRequestsComeInOrder(long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < CONNECTIONS; i++) {
            String name = "connection " + i + " of seed " + seed;
            try (RawCaller caller = RawCaller.connect(node.callers())) {
                List<Sent> sent = new ArrayList<>();
                StringBuilder text = new StringBuilder();
                int requests = random.nextInt(1, MAX_REQUESTS);
                for (int r = 0; r < requests; r++) {
                    Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
                    Sent s = new Sent(kind, "r-" + seed + "-" + i + "-" + r);
                    sent.add(s);
                    text.append(s.text());
                }
                int cut = random.nextInt(text.length());
                caller.send(text.substring(0, cut));
                caller.send(text.substring(cut));
                for (Sent s : sent) {
                    s.check(name, caller.read(s.method()));
                }
                assertWithMessage(name).that(caller.isSilent(2)).isTrue();
            }
        }
    }

    @Test
    void answerAfterTheDeadlineIsNotSentOn() throws IOException {
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            Sent late = new Sent(Kind.LATE, "late");
            caller.send(late.text());
            late.check("late", caller.read("GET"));
            assertThat(caller.isSilent(SILENT_MILLIS)).isTrue();
            Sent next = new Sent(Kind.SOUND, "next");
            caller.send(next.text());
            assertThat(caller.read("GET").body()).isEqualTo("next");
        }
    }

    @Test
    void nothingFollowsTheAnswerOfAStoppingNode() throws Exception {
        try (RawCaller caller = RawCaller.connect(node.callers());
                RawCaller idle = RawCaller.connect(node.callers())) {
            Sent first = new Sent(Kind.SOUND, "first");
            idle.send(first.text());
            assertThat(idle.read("GET").body()).isEqualTo("first");
            caller.send(
                    new Sent(Kind.SOUND, "a").text()
                            + RawCaller.request("GET", "/once/LATE", "b")
                            + new Sent(Kind.SOUND, "c").text());
            assertThat(caller.read("GET").body()).isEqualTo("a");
            Thread stopping = Thread.startVirtualThread(this::stopNode);
            assertThat(caller.read("GET").body()).isEqualTo("b");
            assertThat(caller.isClosedByNode()).isTrue();
            stopping.join();
        }
    }

    private void stopNode() {
        try {
            node.gateway().stopGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 200000",
                "Transfer-Encoding: gzip",
                "Content-Length: 3, 4",
                "Transfer-Encoding: chunked|Content-Length: 3"
            })
    void refusalOfABodyIsTheOnlyAnswer(String framing) throws IOException {
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(
                    new Sent(Kind.SOUND, "a").text()
                            + "POST /once/SOUND HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: b\r\n"
                            + framing.replace("|", "\r\n")
                            + "\r\n\r\n"
                            + new Sent(Kind.SOUND, "inner").text());
            assertThat(caller.read("GET").body()).isEqualTo("a");
            assertThat(caller.read("POST").status()).isAnyOf(400, 413);
            assertThat(caller.isClosedByNode()).isTrue();
        }
        assertThat(desk.requests()).hasSize(1);
    }

    @Test
    void manyPipelinedRequestsThatAreRefusedAreAllAnswered() throws IOException {
        int requests = 3_000;
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            Sent first = new Sent(Kind.LATE, "first");
            caller.send(first.text() + "GET /n HTTP/1.1\r\n\r\n".repeat(requests));
            first.check("first", caller.read("GET"));
            for (int i = 0; i < requests; i++) {
                assertWithMessage("answer %s", i).that(caller.read("GET").status()).isAtLeast(400);
            }
            Sent next = new Sent(Kind.SOUND, "next");
            caller.send(next.text());
            assertThat(caller.read("GET").body()).isEqualTo("next");
        }
    }
}
