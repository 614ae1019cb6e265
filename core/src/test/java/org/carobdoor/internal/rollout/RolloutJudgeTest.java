package org.carobdoor.internal.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.junit.jupiter.api.Test;

/** Measures the errors of the judgement over seeds. */
final class RolloutJudgeTest {
    private static final int SEEDS = 100;
    private static final int OLD_PER_NEW = 10;
    private static final int NEW_PER_REPORT = 4;

    /** How a version answers its nth request on a route. */
    private interface Version {
        /** Returns the time in milliseconds, negative if the answer is a failure. */
        double answer(int n, String route, Random random);
    }

    private static Version sound(double failureRate) {
        return (n, route, r) ->
                (r.nextDouble() < failureRate ? -1 : 1)
                        * (route.equals("chat") ? 300 : 20)
                        * Math.exp(0.3 * r.nextGaussian());
    }

    private static Version failing(double rate) {
        return sound(rate);
    }

    private static Version slow(double rate, double factor) {
        Version base = sound(0);
        return (n, route, r) -> base.answer(n, route, r) * (r.nextDouble() < rate ? factor : 1);
    }

    private static EndpointEntry endpoint(String version) {
        return new EndpointEntry(
                new EndpointId("e-" + version),
                "desk",
                new InetSocketAddress("127.0.0.1", 1),
                new AvailabilityZone("a"),
                true,
                8,
                0,
                1,
                1,
                false,
                OptionalLong.empty(),
                version);
    }

    /** Returns the answers of the new version until it is bad; {@code max} if it is not. */
    private static int answersUntilBad(Version old, Version next, int max, long seed) {
        Random random = new Random(seed);
        VersionCounts node = VersionCounts.create();
        RolloutJudge judge = RolloutJudge.create("desk", "v2");
        for (int n = 0; n < max; n++) {
            record(node, "v2", next, n, random);
            for (int i = 0; i < OLD_PER_NEW; i++) {
                record(node, "v1", old, n, random);
            }
            if (n % NEW_PER_REPORT == 0) {
                judge.report("n1@1", node.of(Set.of("desk")));
                if (judge.judge().isPresent()) {
                    return n + 1;
                }
            }
        }
        return max;
    }

    private static void record(VersionCounts to, String name, Version v, int n, Random random) {
        String route = random.nextBoolean() ? "chat" : "safe";
        double answer = v.answer(n, route, random);
        to.recordAnswer(endpoint(name), route, Math.abs(answer), answer < 0);
    }

    /** Returns how many of the seeds find the version bad within {@code answers}. */
    private static int found(Version old, Version next, int answers) {
        int found = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            int n = answersUntilBad(old, next, answers + NEW_PER_REPORT, seed);
            found += n <= answers ? 1 : 0;
        }
        return found;
    }

    @Test
    void failingVersionIsFoundWithinSixtyAnswers() {
        assertThat(found(sound(0), failing(0.2), 60)).isAtLeast(95);
        assertThat(found(sound(0.01), failing(0.2), 60)).isAtLeast(95);
    }

    @Test
    void rarelyFailingVersionIsFoundWithinFiftyFailures() {
        assertThat(found(sound(0), failing(0.06), 800)).isAtLeast(95);
    }

    @Test
    void slowVersionIsFoundWithinSixtyAnswers() {
        assertThat(found(sound(0), slow(1, 3), 60)).isAtLeast(95);
        assertThat(found(sound(0), slow(0.5, 3), 100)).isAtLeast(95);
        assertThat(found(sound(0), slow(0.3, 5), 100)).isAtLeast(95);
        assertThat(found(sound(0), slow(0.2, 5), 160)).isAtLeast(95);
    }

    @Test
    void soundVersionIsNotRolledBack() {
        int answers = 4_000;
        assertThat(found(sound(0), sound(0), answers)).isAtMost(1);
        assertThat(found(sound(0.01), sound(0.01), answers)).isAtMost(1);
        assertThat(found(sound(0.05), sound(0.05), answers)).isAtMost(1);
        // Endpoints that have just started read all parts of prompts.
        assertThat(found(sound(0), slow(1, 1.4), answers)).isAtMost(1);
    }

    @Test
    void badOnOneRouteOrLateIsFound() {
        Version onRoute =
                (n, route, r) ->
                        (route.equals("chat") && r.nextDouble() < 0.3 ? -1 : 1)
                                * Math.abs(sound(0).answer(n, route, r));
        assertThat(found(sound(0), onRoute, 100)).isAtLeast(95);
        Version late =
                (n, route, r) ->
                        n < 500 ? sound(0).answer(n, route, r) : failing(0.2).answer(n, route, r);
        assertThat(found(sound(0), late, 560)).isAtLeast(95);
        Version lateSlow =
                (n, route, r) ->
                        n < 500 ? sound(0).answer(n, route, r) : slow(1, 4).answer(n, route, r);
        assertThat(found(sound(0), lateSlow, 560)).isAtLeast(95);
    }

    @Test
    void crashOfOneEndpointIsOneFailure() {
        VersionCounts node = VersionCounts.create();
        RolloutJudge judge = RolloutJudge.create("desk", "v2");
        for (int i = 0; i < 50; i++) {
            node.recordBroken(endpoint("v2"), "chat", false, i * 1_000_000L);
        }
        judge.report("n1@1", node.of(Set.of("desk")));
        assertWithMessage("bad").that(judge.judge()).isEmpty();
        assertThat(judge.counts().newFailures()).isEqualTo(1);
    }

    @Test
    void soundVersionIsCalledGoodOnlyWithEvidenceOnEachRoute() {
        VersionCounts node = VersionCounts.create();
        RolloutJudge judge = RolloutJudge.create("desk", "v2");
        judge.report("n1@1", node.of(Set.of("desk")));
        for (int i = 0; i < 400; i++) {
            for (String route : new String[] {"chat", "safe"}) {
                node.recordAnswer(endpoint("v1"), route, 20, false);
            }
            if (i % 4 == 0) {
                node.recordAnswer(endpoint("v2"), "safe", 20, false);
                judge.report("n1@1", node.of(Set.of("desk")));
                judge.judge();
            }
        }
        assertThat(judge.isGood()).isFalse();
        for (int i = 0; i < 20; i++) {
            node.recordAnswer(endpoint("v2"), "chat", 20, false);
        }
        judge.report("n1@1", node.of(Set.of("desk")));
        judge.judge();
        assertThat(judge.isGood()).isTrue();
    }
}
