package org.carobdoor.node.endpoint;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.standins.engine.EngineOptions;
import org.carobdoor.standins.engine.EngineStandIn;
import org.junit.jupiter.api.Test;

/** Guards against a cancelled stream that corrupts the pooled connection of a later stream. */
final class EngineCallTest {
    private static final int ROUNDS = 40;

    @Test
    void streamsAfterCancelledOnesArriveWhole() throws InterruptedException {
        EngineOptions options = EngineOptions.defaults().models("m").tokenMillis(1);
        try (EngineStandIn engine = EngineStandIn.start(options);
                EndpointHttp http =
                        EndpointHttp.create(Duration.ofSeconds(1), Duration.ofSeconds(5))) {
            EngineClient client =
                    new EngineClient(http, new ObjectMapper(), InstantSource.system());
            for (int i = 0; i < ROUNDS; i++) {
                try (EngineCall cancelled = open(client, engine, 200)) {
                    Thread other = Thread.ofVirtual().start(cancelled::cancel);
                    while (cancelled.next() instanceof EngineEvent.Tokens) {
                        Thread.onSpinWait();
                    }
                    other.join();
                }
                assertThat(tokensOf(client, engine)).isEqualTo(3);
            }
        }
    }

    private static int tokensOf(EngineClient client, EngineStandIn engine) {
        int tokens = 0;
        try (EngineCall call = open(client, engine, 3)) {
            while (call.next() instanceof EngineEvent.Tokens t) {
                tokens += t.count();
            }
        }
        return tokens;
    }

    private static EngineCall open(EngineClient client, EngineStandIn engine, int tokens) {
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.put("prompt", "p").put("max_tokens", tokens);
        EngineRequest request = new EngineRequest(false, body, "", 0, 1);
        return client.open(record(engine), "m", request, Instant.now().plusSeconds(10))
                .orElseThrow();
    }

    private static EndpointRecord record(EngineStandIn engine) {
        String address = engine.hostAndPort();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        return new EndpointRecord(
                new EndpointId("e"),
                new AvailabilityZone("z"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "engine",
                Set.of("m"),
                "gpu-1",
                true,
                1,
                true,
                EndpointState.LIVE,
                Optional.empty(),
                Optional.empty());
    }
}
