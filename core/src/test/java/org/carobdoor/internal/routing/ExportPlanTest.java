package org.carobdoor.internal.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.carobdoor.internal.routing.ExportPlan.Running;
import org.junit.jupiter.api.Test;

/**
 * Guards against exports that cannot finish before the reclaim, and against exports of streams that
 * end before it.
 */
final class ExportPlanTest {
    private static final Instant NOW = Instant.EPOCH;

    @Test
    void exportsLongestStreamsThatFitAndSkipsThoseThatEndInTime() {
        Instant late = NOW.plusSeconds(60);
        var streams =
                List.of(
                        new Running("ends", 9_000, NOW.plusSeconds(1)),
                        new Running("short", 1_000, late),
                        new Running("long", 15_000, late),
                        new Running("too-long", 25_000, late));
        assertThat(
                        ExportPlan.exports(
                                streams, NOW, NOW.plusSeconds(2), 10_000, Duration.ofMillis(50)))
                .containsExactly("long", "short")
                .inOrder();
    }
}
