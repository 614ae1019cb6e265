package org.carobdoor.internal.health;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests to endpoints that fail while their health check passes. */
final class EndpointHealthTest {
    private static final long MS = 1_000_000L;

    private final EndpointHealth health = EndpointHealth.create();

    @Test
    void unreachableEndpointIsEjectedAtOnceAndComesBack() {
        assertThat(health.record(SendOutcome.UNREACHABLE, 0, 0)).isTrue();
        assertThat(health.isEjected(100 * MS)).isTrue();
        assertThat(health.isEjected(500 * MS)).isFalse();
    }

    @Test
    void furtherEjectionsLastLonger() {
        health.record(SendOutcome.UNREACHABLE, 0, 0);
        health.record(SendOutcome.UNREACHABLE, 0, 500 * MS);
        assertThat(health.isEjected(1_100 * MS)).isTrue();
    }

    @Test
    void oneBrokenAnswerDoesNotEject() {
        assertThat(health.record(SendOutcome.BROKEN, 0, 0)).isFalse();
    }

    @Test
    void endpointThatFailsMoreThanTheOthersIsEjected() {
        boolean ejected = false;
        for (int i = 0; i < 20; i++) {
            SendOutcome o = i % 2 == 0 ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            ejected |= health.record(o, 0.05, i);
        }
        assertThat(ejected).isTrue();
    }

    @Test
    void failuresThatAllEndpointsHaveEjectNobody() {
        boolean ejected = false;
        for (int i = 0; i < 40; i++) {
            SendOutcome o = i % 2 == 0 ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            ejected |= health.record(o, 0.45, i);
        }
        assertThat(ejected).isFalse();
    }
}
