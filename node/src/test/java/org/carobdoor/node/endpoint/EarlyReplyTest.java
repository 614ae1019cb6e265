package org.carobdoor.node.endpoint;

import static com.google.common.truth.Truth.assertThat;

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
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.standins.gateway.EarlyAnswerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking part of a reply for a whole one when a plain service replies before it has
 * read a long request, and against replies with an invalid status.
 */
final class EarlyReplyTest {
    private static final int BODY_BYTES = 4_000_000;
    private static final long DEADLINE_SECONDS = 4;

    private static Result<ServiceAnswer> upload(EarlyAnswerStandIn service) {
        try (EndpointHttp http =
                EndpointHttp.create(Duration.ofSeconds(1), Duration.ofSeconds(2))) {
            ServiceClient client = new ServiceClient(http, InstantSource.system(), BODY_BYTES);
            ServiceRequest request =
                    new ServiceRequest("POST", "/a", Map.of(), Bytes.of(new byte[BODY_BYTES]));
            return client.call(
                    record(service.address()),
                    request,
                    Instant.now().plusSeconds(DEADLINE_SECONDS));
        }
    }

    @Test
    void partOfAReplyBeforeAResetIsAFailure() {
        try (EarlyAnswerStandIn service =
                EarlyAnswerStandIn.start("HTTP/1.1 200 OK\r\n\r\npart of it")) {
            assertUnknown(upload(service));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600"})
    void replyWithAnInvalidStatusIsAFailure(String status) {
        String reply = "HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\nno";
        try (EarlyAnswerStandIn service = EarlyAnswerStandIn.start(reply)) {
            assertUnknown(upload(service));
        }
    }

    private static void assertUnknown(Result<ServiceAnswer> result) {
        assertThat(result).isInstanceOf(Result.Err.class);
        assertThat(((Result.Err<ServiceAnswer>) result).failure().kind())
                .isEqualTo(FailureKind.UNKNOWN);
    }

    private static EndpointRecord record(InetSocketAddress address) {
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
