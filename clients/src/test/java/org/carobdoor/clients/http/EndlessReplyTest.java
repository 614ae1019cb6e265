package org.carobdoor.clients.http;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.Result;
import org.carobdoor.standins.gateway.EndlessResponseStandIn;
import org.carobdoor.standins.gateway.EndlessResponseStandIn.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an endless reply of the platform that exhausts a process's memory. A reply that is
 * held without a limit fills the heap of the tests before its deadline.
 */
final class EndlessReplyTest {
    /** Interim responses and empty lines are not held; the deadline ends them. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "INTERIM")
    void endlessReplyIsAFailure(Kind kind) {
        try (EndlessResponseStandIn service = EndlessResponseStandIn.start(kind);
                JsonHttpClient client =
                        new JsonHttpClient(
                                "http://127.0.0.1:" + service.address().getPort(),
                                InstantSource.system())) {
            Instant deadline = Instant.now().plusSeconds(10);
            assertThat(client.get("test", client.url("x").build(), deadline))
                    .isInstanceOf(Result.Err.class);
            assertThat(Instant.now()).isLessThan(deadline);
        }
    }
}
