package org.carobdoor.node.endpoint;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.Result;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.standins.gateway.EndlessResponseStandIn;
import org.carobdoor.standins.gateway.EndlessResponseStandIn.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an endless reply of an endpoint that exhausts the daemon's memory. A reply that is
 * held without a limit fills the heap of the tests before its deadline.
 */
final class EndlessReplyTest {
    private static final long DEADLINE_SECONDS = 4;
    private static final int MAX_BODY_BYTES = 8 << 20;

    @ParameterizedTest
    @EnumSource(Kind.class)
    void endlessReplyOfAServiceIsAFailure(Kind kind) {
        try (EndlessResponseStandIn service = EndlessResponseStandIn.start(kind);
                EndpointHttp http = http()) {
            ServiceClient client = new ServiceClient(http, InstantSource.system(), MAX_BODY_BYTES);
            ServiceRequest request = new ServiceRequest("GET", "/a", Map.of(), Bytes.empty());
            assertThat(client.call(record(service), request, deadline()))
                    .isInstanceOf(Result.Err.class);
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void endlessStreamOfAnEngineIsAFailure(Kind kind) {
        try (EndlessResponseStandIn engine = EndlessResponseStandIn.start(kind);
                EndpointHttp http = http()) {
            EngineClient client =
                    new EngineClient(http, new ObjectMapper(), InstantSource.system());
            EngineRequest request =
                    new EngineRequest(false, JsonNodeFactory.instance.objectNode(), "", 0, 1);
            switch (client.open(record(engine), "m", request, deadline())) {
                case Result.Err<EngineCall> refused -> {}
                case Result.Ok<EngineCall>(EngineCall call) -> {
                    try (call) {
                        assertThat(call.next()).isInstanceOf(EngineEvent.Broken.class);
                    }
                }
            }
        }
    }

    private static EndpointHttp http() {
        return EndpointHttp.create(Duration.ofSeconds(1), Duration.ofSeconds(2));
    }

    private static Instant deadline() {
        return Instant.now().plusSeconds(DEADLINE_SECONDS);
    }

    private static EndpointRecord record(EndlessResponseStandIn endpoint) {
        InetSocketAddress address = endpoint.address();
        return new EndpointRecord(
                new EndpointId("e"),
                new AvailabilityZone("z"),
                address,
                "endpoint",
                Set.of("m"),
                "vm-1",
                true,
                1,
                true,
                EndpointState.LIVE,
                Optional.empty(),
                Optional.empty());
    }
}
