package org.carobdoor.bench.faults;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import org.carobdoor.standins.gateway.AnswerLedger;
import org.carobdoor.standins.gateway.AnswerLedger.Arrival;

/** Compares what callers received with what endpoints answered. */
final class AnswerCheck {
    private final AnswerLedger ledger;

    AnswerCheck(AnswerLedger ledger) {
        this.ledger = ledger;
    }

    /** Returns the violations, each with the rule, the request and its arrivals at endpoints. */
    List<String> violations(List<PlainExchange> exchanges) {
        List<String> violations = new ArrayList<>();
        for (PlainExchange e : exchanges) {
            long runs =
                    ledger.arrivals(e.id()).stream().filter(a -> a.behavior().isExecuted()).count();
            CallerAnswer a = e.answer();
            String mixed = a == null ? "" : mixed(e, a);
            if (!mixed.isEmpty()) {
                violations.add("MIXED: " + describe(e) + ": " + mixed);
            }
            if (!e.safe() && runs > 1) {
                violations.add("TWICE: " + describe(e));
            }
            if (!e.safe() && a != null && a.statesNotRun() && runs > 0) {
                violations.add("REFUSED: " + describe(e));
            }
        }
        return violations;
    }

    /** Returns why a response is not the one of an endpoint to the request; empty if it is. */
    private String mixed(PlainExchange e, CallerAnswer a) {
        if (!a.requestId().isEmpty() && !a.requestId().equals(e.id())) {
            return "names request " + a.requestId();
        }
        if (a.stamp().isEmpty()) {
            return a.isSuccess() ? "a success without a signature" : "";
        }
        Arrival given = ledger.findByStamp(a.stamp());
        if (given == null) {
            return "a signature that no endpoint gave: " + a.stamp();
        }
        if (!given.requestId().equals(e.id())) {
            return "the response to " + given;
        }
        if (given.status() != a.status()) {
            return "the endpoint answered " + given.status();
        }
        if (a.isSuccess() && !given.body().equals(a.body())) {
            return "not the endpoint's body: \"" + start(a.body()) + '"';
        }
        return "";
    }

    private String describe(PlainExchange e) {
        CallerAnswer a = e.answer();
        StringBuilder text =
                new StringBuilder(e.safe() ? "safe " : "unsafe ")
                        .append(e.id())
                        .append(" sent ")
                        .append(wallClock(e.sentNanos()))
                        .append(" ended ")
                        .append(wallClock(e.endedNanos()))
                        .append(a == null ? " broken" : " with " + a.status() + " " + a.stamp());
        for (Arrival r : ledger.arrivals(e.id())) {
            text.append("; at ")
                    .append(r.endpoint())
                    .append(' ')
                    .append(wallClock(r.arrivedNanos()))
                    .append(" as request ")
                    .append(r.number())
                    .append(" of its connection, ")
                    .append(r.behavior())
                    .append(", answered ")
                    .append(r.status())
                    .append(' ')
                    .append(r.stamp());
        }
        return text.toString();
    }

    /** Returns the UTC time of day of a {@link System#nanoTime}, as it appears in logs. */
    static String wallClock(long nanos) {
        return Instant.now()
                .minusNanos(System.nanoTime() - nanos)
                .truncatedTo(ChronoUnit.MILLIS)
                .toString()
                .substring(11);
    }

    private static String start(String body) {
        return body.substring(0, Math.min(body.length(), 60));
    }
}
