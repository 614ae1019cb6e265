package org.carobdoor.internal.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.carobdoor.internal.quarantine.SimulatedCluster.DEADLY;
import static org.carobdoor.internal.quarantine.SimulatedCluster.MILLI;
import static org.carobdoor.internal.quarantine.SimulatedCluster.part;

import java.util.List;
import java.util.stream.LongStream;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeatures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against endpoints that crash one after the other on one part of a prompt, and against the
 * refusal of sound requests that were interrupted by a crash.
 */
final class CrashQuarantineSimulationTest {
    private static final long SECOND = 1_000 * MILLI;

    private static final int CRASHES_BEFORE_BOUND = 5;
    private static final int ALLOWED_SENDS = 3;
    private static final long DAY_END = 40 * SECOND;

    /** Shared parts of the sites: three on most requests, many rarer ones below them. */
    private static RequestFeatures soundRequest(SimulatedCluster c) {
        return c.request(part(1 + c.random.nextInt(3)), part(100 + c.random.nextInt(160)));
    }

    private static RequestFeatures deadlyRequest(SimulatedCluster c) {
        return c.request(part(1 + c.random.nextInt(3)), part(100 + c.random.nextInt(160)), DEADLY);
    }

    private static SimulatedCluster cluster(
            long seed, int nodes, int endpoints, double soundPerSecond, double deadlyPerSecond) {
        SimulatedCluster c = new SimulatedCluster(seed, nodes, endpoints, 3);
        c.repeat(SECOND / soundPerSecond, DAY_END, () -> c.arrive(soundRequest(c), 2));
        c.schedule(
                4 * SECOND,
                () ->
                        c.repeat(
                                SECOND / deadlyPerSecond,
                                26 * SECOND,
                                () -> c.arrive(deadlyRequest(c), 2)));
        return c;
    }

    private static void assertBounds(SimulatedCluster c) {
        assertWithMessage("sends after the bound; crashes at %s", c.requestCrashes)
                .that(c.deadlySendsAfter(CRASHES_BEFORE_BOUND, SimulatedCluster.CONTACT_NANOS))
                .isAtMost(ALLOWED_SENDS);
        assertWithMessage("sound requests refused of %s", c.soundRequests)
                .that(c.soundRefused)
                .isAtMost(c.soundRequests / 50);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void deadlyPartIsRefusedByAllNodesOfASmallGroup(long seed) {
        SimulatedCluster c = cluster(seed, 7, 15, 55, 1);
        c.runUntil(DAY_END);
        assertBounds(c);
        // Three crashes prove it; requests that are under way at that moment may add some.
        assertThat(c.requestCrashes.size()).isIn(List.of(3, 4, 5));
        assertThat(c.allNodes(q -> q.find(c.request(DEADLY)).isPresent())).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void deadlyPartThatComesOftenIsRefusedByManyNodes(long seed) {
        SimulatedCluster c = cluster(seed, 62, 42, 350, 22);
        c.runUntil(DAY_END);
        assertBounds(c);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void deadlyPartIsRefusedByAllNodesOfTheLargestGroup(long seed) {
        SimulatedCluster c = cluster(seed, 380, 920, 2_000, 20);
        c.runUntil(20 * SECOND);
        assertBounds(c);
        assertThat(c.allNodes(q -> q.find(c.request(DEADLY)).isPresent())).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void deadlyPartIsRefusedWhenMessagesAreLostAndLate(long seed) {
        SimulatedCluster c = cluster(seed, 20, 30, 120, 2);
        c.lossRate = 0.3;
        c.duplicateRate = 0.3;
        c.maxDelayNanos = 400 * MILLI;
        c.runUntil(DAY_END);
        assertBounds(c);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void deadlyPartStaysRefusedWhenNodesRestart(long seed) {
        SimulatedCluster c = cluster(seed, 7, 15, 55, 2);
        for (int i = 0; i < 40; i++) {
            int node = i % 7;
            c.schedule(5 * SECOND + i * 500 * MILLI, () -> c.restart(node));
        }
        c.runUntil(DAY_END);
        assertBounds(c);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void deadlyPartStaysRefusedWhenAllNodesRestartAtOnce(long seed) {
        SimulatedCluster c = cluster(seed, 7, 15, 55, 2);
        c.schedule(
                12 * SECOND,
                () -> {
                    for (int i = 0; i < 7; i++) {
                        c.restart(i);
                    }
                });
        c.runUntil(12 * SECOND);
        int crashesBefore = c.requestCrashes.size();
        c.runUntil(DAY_END);
        assertThat(c.requestCrashes.size()).isEqualTo(crashesBefore);
        assertBounds(c);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void partOfAllRequestsIsServedAfterARestartOfAllNodes(long seed) {
        SimulatedCluster c = new SimulatedCluster(seed, 6, 21, 3);
        c.answerNanos = 300 * MILLI;
        RequestFeature site = part(1);
        c.repeat(
                SECOND / 17.0,
                DAY_END,
                () -> c.arrive(c.request(site, part(100 + c.random.nextInt(160))), 1));
        c.repeat(SECOND / 1.5, DAY_END, () -> c.arrive(c.request(site, part(2), DEADLY), 1));
        c.schedule(
                2 * SECOND,
                () -> {
                    for (int i = 0; i < 6; i++) {
                        c.restart(i);
                    }
                });
        c.runUntil(DAY_END);
        assertBounds(c);
        assertThat(c.soundRefused).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void deadlyPartIsRefusedWhileTheStoreIsAway(long seed) {
        SimulatedCluster c = cluster(seed, 7, 15, 55, 2);
        c.storeReachable = false;
        c.runUntil(DAY_END);
        assertBounds(c);
        c.storeReachable = true;
        c.runUntil(DAY_END + 5 * SECOND);
        assertThat(c.stored()).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void zoneThatIsCutOffDecidesAloneAndJoinsLater(long seed) {
        SimulatedCluster c = cluster(seed, 9, 18, 90, 3);
        c.schedule(3 * SECOND, () -> c.cut(1));
        c.schedule(14 * SECOND, () -> c.cut(-1));
        c.runUntil(DAY_END);
        // Each side of the cut needs crashes of its own.
        assertThat(c.requestCrashes.size()).isAtMost(4 * CRASHES_BEFORE_BOUND);
        long sendsAfterCut =
                c.deadlySends.stream()
                        .filter(t -> t > 14 * SECOND + SimulatedCluster.CONTACT_NANOS)
                        .count();
        assertThat(sendsAfterCut).isAtMost(ALLOWED_SENDS);
        assertThat(c.allNodes(q -> q.find(c.request(DEADLY)).isPresent())).isTrue();
    }

    static LongStream soakSeeds() {
        return LongStream.rangeClosed(1, Long.getLong("carobdoor.quarantine.seeds", 20));
    }

    @ParameterizedTest
    @MethodSource("soakSeeds")
    void boundsHoldWhileFaultsOverlap(long seed) {
        SimulatedCluster c = cluster(seed, 9, 20, 90, 2);
        List<Runnable> faults =
                List.of(
                        () -> c.restart(c.random.nextInt(9)),
                        () -> c.restart(c.random.nextInt(9)),
                        () -> {
                            for (int i = 0; i < 9; i++) {
                                c.restart(i);
                            }
                        },
                        () -> {
                            c.storeReachable = false;
                            c.schedule(
                                    SECOND + c.random.nextLong(3 * SECOND),
                                    () -> c.storeReachable = true);
                        },
                        () -> {
                            c.cut(c.random.nextInt(3));
                            c.schedule(SECOND + c.random.nextLong(5 * SECOND), () -> c.cut(-1));
                        },
                        () -> c.crashSome(6),
                        () -> c.crashSome(1),
                        () -> c.lossRate = c.random.nextBoolean() ? 0.02 : 0.3);
        c.repeat(
                0.9 * SECOND, 26 * SECOND, () -> faults.get(c.random.nextInt(faults.size())).run());
        c.runUntil(DAY_END);
        assertBounds(c);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void racksThatFailDoNotQuarantineInnocentParts(long seed) {
        SimulatedCluster c = cluster(seed, 20, 40, 300, 0.000_001);
        for (int i = 0; i < 8; i++) {
            c.schedule(
                    5 * SECOND + i * 3_500 * MILLI,
                    () -> {
                        int first = c.random.nextInt(30);
                        c.crash(List.copyOf(c.endpoints.subList(first, first + 10)));
                    });
        }
        c.runUntil(DAY_END);
        assertThat(c.reportsSent).isGreaterThan(0);
        assertThat(c.stored()).isEmpty();
        assertThat(c.soundRefused).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endpointsThatCrashAgainAndAgainDoNotQuarantineInnocentParts(long seed) {
        SimulatedCluster c = cluster(seed, 20, 40, 300, 0.000_001);
        c.repeat(
                400.0 * MILLI,
                DAY_END,
                () -> c.crash(List.of(c.endpoints.get(c.random.nextInt(40)))));
        c.runUntil(DAY_END);
        assertThat(c.reportsSent).isGreaterThan(20);
        assertThat(c.stored()).isEmpty();
        assertThat(c.soundRefused).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void soundRequestsWithTheOtherPartsOfDeadlyOnesAreServed(long seed) {
        SimulatedCluster c = new SimulatedCluster(seed, 7, 15, 3);
        RequestFeature site = part(1);
        RequestFeature subject = part(2);
        c.repeat(SECOND / 30.0, DAY_END, () -> c.arrive(soundRequest(c), 1));
        // The subject is rare: no sound request with it comes between the first crashes.
        c.repeat(5.0 * SECOND, DAY_END, () -> c.arrive(c.request(site, subject), 1));
        c.schedule(
                4 * SECOND,
                () ->
                        c.repeat(
                                0.5 * SECOND,
                                26 * SECOND,
                                () -> c.arrive(c.request(site, subject, DEADLY), 1)));
        c.runUntil(DAY_END);
        assertBounds(c);
        assertThat(c.soundRefused).isEqualTo(0);
    }

    @Test
    void repeatsOfOneRequestDoNotQuarantineItsSharedParts() {
        SimulatedCluster c = new SimulatedCluster(1, 7, 15, 3);
        RequestFeatures repeated = c.request(part(1), part(2), DEADLY);
        for (int i = 0; i < 8; i++) {
            c.schedule((4 + i) * SECOND, () -> c.arrive(repeated, 2));
        }
        c.runUntil(DAY_END);
        assertThat(c.requestCrashes.size()).isAtMost(CRASHES_BEFORE_BOUND);
        assertThat(c.allNodes(q -> q.find(repeated).isPresent())).isTrue();
        assertThat(c.allNodes(q -> q.find(c.request(part(1), part(2))).isEmpty())).isTrue();
    }

    @Test
    void operatorLiftsAnEntryOnAllNodes() {
        SimulatedCluster c = cluster(1, 7, 15, 55, 2);
        c.runUntil(26 * SECOND);
        assertThat(c.stored()).isNotEmpty();
        c.stored().forEach(c::lift);
        c.runUntil(DAY_END);
        assertThat(c.stored()).isEmpty();
        assertThat(c.allNodes(CrashQuarantine::isEmpty)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void deadlyPartThatComesAllDayGetsFewTrials(long seed) {
        SimulatedCluster c = new SimulatedCluster(seed, 7, 15, 3);
        long day = 24 * 3_600 * SECOND;
        c.repeat(20.0 * SECOND, day, () -> c.arrive(c.request(part(1), DEADLY), 1));
        c.runUntil(day);
        assertThat(c.requestCrashes.size()).isAtMost(CRASHES_BEFORE_BOUND + ALLOWED_SENDS);
        assertThat(c.deadlySendsAfter(CRASHES_BEFORE_BOUND, SimulatedCluster.CONTACT_NANOS))
                .isAtMost(ALLOWED_SENDS);
    }
}
