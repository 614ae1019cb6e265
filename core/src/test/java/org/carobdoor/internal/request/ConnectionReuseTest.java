package org.carobdoor.internal.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against connections that are reused, or never reused again, after a doubtful answer. */
final class ConnectionReuseTest {
    private static final long START = 7;

    @Test
    void connectionsAreNotReusedForSomeTimeAfterAnUnknownAnswer() {
        ConnectionReuse reuse = ConnectionReuse.create();
        assertThat(reuse.isAllowed(START)).isTrue();
        reuse.onUnknownAnswer(START);
        assertThat(reuse.isAllowed(START + ConnectionReuse.SUSPENSION_NANOS - 1)).isFalse();
        assertThat(reuse.isAllowed(START + ConnectionReuse.SUSPENSION_NANOS)).isTrue();
        assertThat(reuse.isAllowed(START + 1)).isTrue();
    }
}
