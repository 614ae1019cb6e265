package org.carobdoor.clients.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jooby.Context;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against OkHttp sending a request again, which would place a bid twice. */
final class SingleAttemptHttpTest {
    private final AtomicInteger received = new AtomicInteger();
    private volatile int status = 200;
    private final StandInServer server =
            StandInServer.start(
                    0,
                    app -> {
                        StandInServer.get(app, "/x", this::serve);
                        StandInServer.post(app, "/x", this::serve);
                        StandInServer.delete(app, "/x", this::serve);
                    });
    private final OkHttpClient client = SingleAttemptHttp.newBuilder().build();

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void noStatusCausesASecondSend() throws Exception {
        for (int code : new int[] {301, 302, 307, 308, 401, 408, 421, 429, 500, 503}) {
            for (String method : new String[] {"GET", "POST", "DELETE"}) {
                status = code;
                received.set(0);
                try (Response response = client.newCall(request(method)).execute()) {
                    assertWithMessage(method).that(response.code()).isEqualTo(code);
                }
                assertWithMessage("%s %s", method, code).that(received.get()).isEqualTo(1);
            }
        }
    }

    @Test
    void proxyAuthenticationIsAFailureWithoutASecondSend() {
        status = 407;
        // OkHttp reports this status as an exception when no proxy is in use.
        assertThrows(IOException.class, () -> client.newCall(request("POST")).execute());
        assertThat(received.get()).isEqualTo(1);
    }

    @Test
    void brokenConnectionCausesNoSecondSend() throws Exception {
        for (String method : new String[] {"GET", "POST", "DELETE"}) {
            status = 200;
            client.newCall(request(method)).execute().close();
            received.set(0);
            status = 0;
            // The connection is closed without a response.
            assertThrows(IOException.class, () -> client.newCall(request(method)).execute());
            assertWithMessage(method).that(received.get()).isEqualTo(1);
        }
    }

    @Test
    void trackerDistinguishesARefusedConnectionFromALostResponse() {
        var sent = new SendTracker();
        status = 0;
        assertThrows(
                IOException.class,
                () ->
                        client.newCall(SingleAttemptHttp.withTracker(request("POST"), sent))
                                .execute());
        assertThat(sent.mayHaveBeenSent()).isTrue();
        server.close();
        var refused = new SendTracker();
        assertThrows(
                IOException.class,
                () ->
                        SingleAttemptHttp.newBuilder()
                                .build()
                                .newCall(SingleAttemptHttp.withTracker(request("POST"), refused))
                                .execute());
        assertThat(refused.mayHaveBeenSent()).isFalse();
    }

    private Request request(String method) {
        RequestBody body = method.equals("GET") ? null : RequestBody.create(new byte[] {1});
        return new Request.Builder().url(server.url() + "/x").method(method, body).build();
    }

    private Reply serve(Context context) {
        received.incrementAndGet();
        context.setResponseHeader("Retry-After", "0");
        context.setResponseHeader("Location", server.url() + "/x");
        return new Reply(status, Json.object());
    }
}
