package org.carobdoor.bench.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.standins.gateway.AnswerLedger;
import org.carobdoor.standins.gateway.AnswerLedger.Arrival;
import org.carobdoor.standins.gateway.EndpointBehavior;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against a soak that does not notice wrong answers. */
final class AnswerCheckTest {
    private final AnswerLedger ledger = new AnswerLedger();

    @Test
    void theAnswersOfEndpointsAndOfTheNodeAreAccepted() {
        arrive("a", EndpointBehavior.SOUND, 200, "s1");
        assertThat(check(false, new CallerAnswer(200, "a", "s1", "body of s1"))).isEmpty();
        assertThat(check(false, new CallerAnswer(504, "", "", "deadline"))).isEmpty();
        assertThat(check(false, null)).isEmpty();
    }

    @Test
    void theAnswerOfTheLastOfSeveralArrivalsIsAccepted() {
        arrive("a", EndpointBehavior.FAILED, 500, "s1");
        arrive("a", EndpointBehavior.SOUND, 200, "s2");
        assertThat(check(true, new CallerAnswer(200, "a", "s2", "body of s2"))).isEmpty();
    }

    @Test
    void successWhereTheEndpointFailedIsMixed() {
        arrive("a", EndpointBehavior.FAILED_UNNAMED, 500, "s1");
        assertRule("MIXED", check(false, new CallerAnswer(200, "a", "s1", "another body")));
    }

    @Test
    void failureWithTheSignatureOfASuccessIsMixed() {
        arrive("a", EndpointBehavior.CONTRADICTED, 200, "s1");
        assertRule("MIXED", check(false, new CallerAnswer(500, "a", "s1", "another body")));
    }

    @Test
    void anotherBodyIsMixed() {
        arrive("a", EndpointBehavior.SOUND, 200, "s1");
        assertRule("MIXED", check(false, new CallerAnswer(200, "a", "s1", "body")));
    }

    @Test
    void theAnswerToAnotherRequestIsMixed() {
        arrive("a", EndpointBehavior.SOUND, 200, "s1");
        arrive("b", EndpointBehavior.SOUND, 200, "s2");
        assertRule("MIXED", check(false, new CallerAnswer(200, "", "s2", "body of s2")));
        assertRule("MIXED", check(false, new CallerAnswer(200, "b", "s1", "body of s1")));
    }

    @Test
    void successThatNoEndpointGaveIsMixed() {
        assertRule("MIXED", check(true, new CallerAnswer(200, "a", "", "body")));
        assertRule("MIXED", check(true, new CallerAnswer(200, "a", "s9", "body")));
    }

    @Test
    void secondRunIsReportedOnlyForUnsafeRequests() {
        arrive("a", EndpointBehavior.FAILED, 500, "s1");
        arrive("a", EndpointBehavior.SOUND, 200, "s2");
        CallerAnswer answer = new CallerAnswer(200, "a", "s2", "body of s2");
        assertThat(check(true, answer)).isEmpty();
        assertRule("TWICE", check(false, answer));
    }

    @Test
    void arrivalsThatWereNotExecutedAreNoRuns() {
        arrive("a", EndpointBehavior.SHED, 503, "s1");
        arrive("a", EndpointBehavior.MISDIRECTED, 421, "s2");
        arrive("a", EndpointBehavior.SOUND, 200, "s3");
        assertThat(check(false, new CallerAnswer(200, "a", "s3", "body of s3"))).isEmpty();
    }

    @Test
    void refusalOfAnUnsafeRequestThatHasRunIsReported() {
        arrive("a", EndpointBehavior.SOUND, 200, "s1");
        assertRule("REFUSED", check(false, new CallerAnswer(503, "", "", "")));
        assertRule("REFUSED", check(false, new CallerAnswer(429, "", "", "")));
    }

    private void arrive(String id, EndpointBehavior behavior, int status, String stamp) {
        ledger.add(
                new Arrival(id, "p-0", 1, behavior, 0, status, stamp, "body of " + stamp, false));
    }

    private List<String> check(boolean safe, @Nullable CallerAnswer answer) {
        PlainExchange e = new PlainExchange("a", "n0", safe, 0, 1, answer);
        return new AnswerCheck(ledger).violations(List.of(e));
    }

    private static void assertRule(String rule, List<String> violations) {
        assertThat(violations).hasSize(1);
        assertThat(violations.get(0)).startsWith(rule + ": ");
    }
}
