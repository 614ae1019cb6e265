package org.carobdoor.internal.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeature.Kind;
import org.carobdoor.message.RequestFeatures;
import org.junit.jupiter.api.Test;

/** Guards against lost answers, cut links and slow endpoints that are taken for crashes. */
final class EndpointCrashDetectorTest {
    private static final long MILLI = 1_000_000L;

    private static RequestFeatures request(long id) {
        return new RequestFeatures(List.of(), new RequestFeature(Kind.PROMPT_PART, id));
    }

    @Test
    void refusalAfterBrokenConnectionsConfirmsACrash() {
        EndpointCrashDetector d = EndpointCrashDetector.create();
        assertThat(d.recordBroken(request(1), 0)).isTrue();
        assertThat(d.recordBroken(request(2), MILLI)).isFalse();
        assertThat(d.recordRefused(2 * MILLI)).containsExactly(request(1), request(2));
        assertThat(d.recordRefused(3 * MILLI)).isEmpty();
    }

    @Test
    void endpointThatAcceptsConnectionsHasNotCrashed() {
        EndpointCrashDetector d = EndpointCrashDetector.create();
        d.recordBroken(request(1), 0);
        d.recordConnected();
        assertThat(d.recordRefused(MILLI)).isEmpty();
    }

    @Test
    void lateRefusalDoesNotConfirmACrash() {
        EndpointCrashDetector d = EndpointCrashDetector.create();
        d.recordBroken(request(1), 0);
        assertThat(d.recordRefused(EndpointCrashDetector.CONFIRMATION_NANOS + 1)).isEmpty();
        assertThat(d.recordBroken(request(2), 700 * MILLI)).isTrue();
    }

    @Test
    void refusalWithoutABrokenConnectionIsNoCrash() {
        assertThat(EndpointCrashDetector.create().recordRefused(0)).isEmpty();
    }
}
