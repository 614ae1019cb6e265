package org.carobdoor.bench.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.standins.gateway.AnswerLedger;
import org.carobdoor.standins.gateway.EndpointBehavior;
import org.junit.jupiter.api.Test;

/** Guards against a soak that does not notice requests to endpoints that are leaving. */
final class LeavingCheckTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    private final long now = System.nanoTime();
    private final AnswerLedger ledger = new AnswerLedger();
    private final Disruptions disruptions = new Disruptions(3 * SECOND);

    private PlainExchange exchange(String id, long sentSeconds, boolean leaving) {
        long sent = now + sentSeconds * SECOND;
        ledger.add(
                new AnswerLedger.Arrival(
                        id, "e-0", 1, EndpointBehavior.SOUND, sent + 1, 200, id, "", leaving));
        return new PlainExchange(id, "n0", true, sent, sent + 2, new CallerAnswer(200, id, id, ""));
    }

    private List<String> check(long acknowledgedNanos, PlainExchange... exchanges) {
        EndpointLeave leave =
                new EndpointLeave("e-0", acknowledgedNanos, now - 1, now + 20 * SECOND);
        return new LeavingCheck(ledger, disruptions, 2 * SECOND)
                .violations(List.of(exchanges), List.of(leave));
    }

    @Test
    void requestAfterTheBoundOfTheStoreIsReported() {
        assertThat(check(now, exchange("a", 1, false))).isEmpty();
        assertThat(check(now, exchange("b", 3, false))).hasSize(1);
        assertThat(check(NEVER, exchange("c", 4, false))).isEmpty();
    }

    @Test
    void requestAfterAnAnswerThatSaidThatItLeavesIsReported() {
        PlainExchange first = exchange("a", 1, true);
        assertThat(check(NEVER, first, exchange("b", 2, true))).isEmpty();
        assertThat(check(NEVER, first, exchange("c", 4, true))).hasSize(1);
    }

    @Test
    void disruptedNodeIsExcused() {
        try (Disruptions.Span d = disruptions.begin("n0")) {
            PlainExchange late = exchange("b", 4, true);
            assertThat(check(now, exchange("a", 1, true), late)).isEmpty();
            assertThat(d).isNotNull();
        }
    }
}
