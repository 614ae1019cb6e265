package org.carobdoor.internal.health;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests to endpoints that fail while their health checks pass, and against
 * ejections for failures that all endpoints share.
 */
final class EndpointHealthTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EndpointHealth health = EndpointHealth.create();

    @Test
    void unreachableEndpointIsEjectedImmediatelyAndReinstatedLater() {
        assertThat(health.record(SendOutcome.UNREACHABLE, 0, 0)).isTrue();
        assertThat(health.isEjected(100 * NANOS_PER_MILLI)).isTrue();
        assertThat(health.isEjected(500 * NANOS_PER_MILLI)).isFalse();
    }

    @Test
    void furtherEjectionsLastLonger() {
        health.record(SendOutcome.UNREACHABLE, 0, 0);
        health.record(SendOutcome.UNREACHABLE, 0, 500 * NANOS_PER_MILLI);
        assertThat(health.isEjected(1_100 * NANOS_PER_MILLI)).isTrue();
    }

    @Test
    void oneBrokenAnswerDoesNotEject() {
        assertThat(health.record(SendOutcome.BROKEN, 0, 0)).isFalse();
    }

    @Test
    void endpointThatFailsMoreThanTheOthersIsEjected() {
        boolean ejected = false;
        for (int i = 0; i < 20; i++) {
            SendOutcome outcome = i % 2 == 0 ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            ejected |= health.record(outcome, 0.05, i);
        }
        assertThat(ejected).isTrue();
    }

    @Test
    void failuresSharedByAllEndpointsDoNotEject() {
        boolean ejected = false;
        for (int i = 0; i < 40; i++) {
            SendOutcome outcome = i % 2 == 0 ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            ejected |= health.record(outcome, 0.45, i);
        }
        assertThat(ejected).isFalse();
    }
}
