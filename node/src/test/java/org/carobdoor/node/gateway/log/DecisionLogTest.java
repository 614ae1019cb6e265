package org.carobdoor.node.gateway.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a name with a line break that forges a line of the log. */
final class DecisionLogTest {
    @Test
    void nameWithALineBreakStaysOnItsLine() {
        assertThat(DecisionLog.singleLine("usage.reported counts={a\r\nnode.stopped b=1}"))
                .isEqualTo("usage.reported counts={a??node.stopped b=1}");
    }
}
