package org.carobdoor.node.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.jooby.StatusCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.RawCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against bytes after an answer that has no body by the protocol: its caller would read them
 * as the answer to the next request on the connection.
 */
final class BodilessAnswerTest {
    private static final int MAX_BODY = 2048;
    private static final int SILENT_MILLIS = 30;

    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private final HttpServer server =
            HttpServer.start(
                            address,
                            MAX_BODY,
                            NodeMetrics.create(),
                            app -> {
                                new HealthRoutes(NodeMetrics.create(), () -> "").install(app);
                                app.get("/next", ctx -> ctx.send("own"));
                                app.head(
                                        "/problem",
                                        ctx -> {
                                            throw new ProblemException(
                                                    Problem.notRun(401, "unauthorized", "no key"));
                                        });
                                app.get(
                                        "/status/{code}",
                                        ctx -> {
                                            ctx.setResponseCode(ctx.path("code").intValue());
                                            return ctx.send(
                                                    "a body".getBytes(StandardCharsets.UTF_8));
                                        });
                                app.get("/empty", ctx -> ctx.send(StatusCode.NO_CONTENT));
                            })
                    .orElseThrow();

    @AfterEach
    void stop() {
        server.close();
    }

    @ParameterizedTest
    @CsvSource({
        "HEAD, /nothing",
        "HEAD, /problem",
        "HEAD, /healthz",
        "HEAD, /metrics",
        "GET, /empty",
        "GET, /status/204",
        "GET, /status/304"
    })
    void answerWithoutABodyIsFollowedByTheNextAnswer(String method, String path)
            throws IOException {
        try (RawCaller caller = RawCaller.connect(address)) {
            caller.send(RawCaller.request(method, path, "bodiless"));
            caller.read(method);
            caller.send(RawCaller.request("GET", "/next", "next"));
            RawCaller.Answer next = caller.read("GET");
            assertWithMessage("next answer: %s", next).that(next.status()).isEqualTo(200);
            assertThat(next.body()).isEqualTo("own");
            assertThat(caller.isSilent(SILENT_MILLIS)).isTrue();
        }
    }
}
