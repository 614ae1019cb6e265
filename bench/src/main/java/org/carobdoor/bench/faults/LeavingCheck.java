package org.carobdoor.bench.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.standins.gateway.AnswerLedger;
import org.carobdoor.standins.gateway.AnswerLedger.Arrival;

/**
 * Finds requests that reached endpoints too long after these had begun to leave: after the store
 * had accepted it, from nodes in touch; and after a node had passed on an answer that says so.
 */
final class LeavingCheck {
    private final AnswerLedger ledger;
    private final Disruptions disruptions;
    private final long drainNanos;

    /**
     * Creates a check.
     *
     * @param drainNanos the time in which a node has to stop using an endpoint
     */
    LeavingCheck(AnswerLedger ledger, Disruptions disruptions, long drainNanos) {
        this.ledger = ledger;
        this.disruptions = disruptions;
        this.drainNanos = drainNanos;
    }

    /** Returns the violations, each with the rule, the request and its endpoint. */
    List<String> violations(List<PlainExchange> exchanges, List<EndpointLeave> leaves) {
        List<String> violations = new ArrayList<>();
        for (EndpointLeave leave : leaves) {
            Map<String, Long> passedOn = passedOn(exchanges, leave);
            for (PlainExchange e : exchanges) {
                for (Arrival a : ledger.arrivals(e.id())) {
                    if (isDuring(a, leave) && !a.behavior().isMisdirected()) {
                        check(e, a, leave, passedOn, violations);
                    }
                }
            }
        }
        return violations;
    }

    private static boolean isDuring(Arrival a, EndpointLeave leave) {
        return a.endpoint().equals(leave.endpoint())
                && a.arrivedNanos() - leave.startNanos() > 0
                && a.arrivedNanos() - leave.endNanos() < 0;
    }

    private void check(
            PlainExchange e,
            Arrival a,
            EndpointLeave leave,
            Map<String, Long> passedOn,
            List<String> violations) {
        boolean told = leave.acknowledgedNanos() != Long.MAX_VALUE;
        long late = a.arrivedNanos() - leave.acknowledgedNanos() - drainNanos;
        if (told && late > 0 && disruptions.wasInTouch(e.node(), e.sentNanos(), a.arrivedNanos())) {
            violations.add(describe(e, a, late, "the store had accepted that it leaves"));
        }
        Long passed = passedOn.get(e.node());
        if (passed != null) {
            long sentLate = e.sentNanos() - passed - drainNanos;
            if (sentLate > 0 && !disruptions.wasDisrupted(e.node(), passed, e.sentNanos())) {
                violations.add(describe(e, a, sentLate, "an answer had said that it leaves"));
            }
        }
    }

    /** Returns when each node had passed on the first answer that says that the endpoint leaves. */
    private Map<String, Long> passedOn(List<PlainExchange> exchanges, EndpointLeave leave) {
        Map<String, Long> first = new HashMap<>();
        for (PlainExchange e : exchanges) {
            CallerAnswer answer = e.answer();
            Arrival a = answer == null ? null : ledger.findByStamp(answer.stamp());
            if (a != null && a.leaving() && isDuring(a, leave)) {
                first.merge(e.node(), e.endedNanos(), (x, y) -> x - y < 0 ? x : y);
            }
        }
        return first;
    }

    private String describe(PlainExchange e, Arrival a, long lateNanos, String since) {
        return String.format(
                "DRAIN: %s sent %s reached %s at %s, %d ms after the bound (%s)",
                e.id(),
                AnswerCheck.wallClock(e.sentNanos()),
                a.endpoint(),
                AnswerCheck.wallClock(a.arrivedNanos()),
                lateNanos / 1_000_000,
                since);
    }
}
