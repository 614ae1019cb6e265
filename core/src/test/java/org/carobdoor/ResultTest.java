package org.carobdoor;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against a failure that is treated as a value or loses its details. */
final class ResultTest {

    private static final Result<Integer> FAILED =
            Result.err(FailureKind.UNKNOWN, "kv.write", "10.0.0.1:80", "no answer");

    @Test
    void mapKeepsFailure() {
        assertThat(FAILED.map(n -> n + 1)).isEqualTo(FAILED);
    }

    @Test
    void flatMapPassesValueOn() {
        assertThat(Result.ok(1).flatMap(n -> Result.ok(n + 1))).isEqualTo(Result.ok(2));
    }

    @Test
    void orElseThrowNamesStepAndPeer() {
        var e = assertThrows(IllegalStateException.class, FAILED::orElseThrow);
        assertThat(e).hasMessageThat().contains("kv.write at 10.0.0.1:80");
    }
}
