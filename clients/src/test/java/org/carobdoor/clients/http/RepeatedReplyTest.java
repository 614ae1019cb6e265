package org.carobdoor.clients.http;

import static com.google.common.truth.Truth.assertThat;
import static org.carobdoor.standins.gateway.RepeatingReplyStandIn.reply;

import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.Result;
import org.carobdoor.standins.gateway.RepeatingReplyStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a repeated response that is taken for the response to the next request. */
final class RepeatedReplyTest {
    private static final String FIRST = reply("200 OK", "{\"call\":1}");
    private static final String SECOND = reply("200 OK", "{\"call\":2}");

    @ParameterizedTest
    @ValueSource(longs = {0, 10, 100, 300})
    void repeatedResponseIsNotTheNextOne(long repeatMillis) {
        try (RepeatingReplyStandIn server =
                        RepeatingReplyStandIn.start(repeatMillis, FIRST, FIRST, SECOND);
                JsonHttpClient client = client(server)) {
            assertThat(call(client)).isEqualTo(1);
            assertThat(call(client)).isEqualTo(2);
            assertThat(server.requests()).isEqualTo(2);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100})
    void errorIsNotTakenForTheSuccessOfAnEarlierRequest(long repeatMillis) {
        try (RepeatingReplyStandIn server =
                        RepeatingReplyStandIn.start(
                                repeatMillis, FIRST, FIRST, reply("500 Error", "{}"));
                JsonHttpClient client = client(server)) {
            assertThat(call(client)).isEqualTo(1);
            assertThat(post(client)).isInstanceOf(Result.Err.class);
        }
    }

    @Test
    void interimResponseIsNotTheFinalOne() {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        try (RepeatingReplyStandIn server = RepeatingReplyStandIn.start(0, interim, FIRST, "");
                JsonHttpClient client = client(server)) {
            assertThat(call(client)).isEqualTo(1);
        }
    }

    private static JsonHttpClient client(RepeatingReplyStandIn server) {
        return new JsonHttpClient(
                "http://127.0.0.1:" + server.address().getPort() + "/", InstantSource.system());
    }

    private static int call(JsonHttpClient client) {
        return client.get("test", client.url("x").build(), deadline())
                .orElseThrow()
                .body()
                .path("call")
                .asInt();
    }

    private static Result<JsonResponse> post(JsonHttpClient client) {
        return client.post("test", client.url("x").build(), JsonHttpClient.newObject(), deadline());
    }

    private static Instant deadline() {
        return Instant.now().plusSeconds(5);
    }
}
