package org.carobdoor.internal.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.ServiceTimeSum;
import org.junit.jupiter.api.Test;

/** Guards against conclusions from evidence that says something else about an endpoint. */
final class CapacityModelTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int ENDPOINTS = 8;

    private final CapacityModel model = CapacityModel.create();

    CapacityModelTest() {
        for (int i = 0; i < ENDPOINTS; i++) {
            model.update(entry(i, 1), 0);
        }
    }

    private static EndpointEntry entry(int index, long startedAtMillis) {
        return new EndpointEntry(
                new EndpointId("i-" + index),
                "llm",
                new InetSocketAddress("127.0.0.1", 9),
                new AvailabilityZone("a"),
                true,
                12,
                0,
                startedAtMillis,
                0,
                false,
                OptionalLong.empty());
    }

    private LearnedCapacity capacity(int index, long now) {
        model.refresh(now);
        return model.capacity("i-" + index).orElseThrow();
    }

    private void record(int index, int requests, double load, double factor, long now) {
        for (int i = 0; i < requests; i++) {
            model.record("i-" + index, load, 50, 50 * factor, now);
        }
    }

    private void recordAll(int requests, double load, long now) {
        for (int i = 0; i < ENDPOINTS; i++) {
            record(i, requests, load, 1, now);
        }
    }

    @Test
    void endpointWithoutEvidenceHasTheUsualSpeed() {
        LearnedCapacity c = capacity(0, 0);
        assertThat(c.slowdown()).isEqualTo(1);
        assertThat(c.limit()).isEqualTo(12);
        assertThat(c.timeFactor(1)).isWithin(0.2).of(1);
    }

    @Test
    void endpointThatSlowsDownFromHalfLoadHasALimitOfHalfItsSlots() {
        recordAll(20, 0.2, 0);
        record(0, 20, 0.45, 1, 0);
        record(0, 20, 0.7, 4, 0);
        assertThat(capacity(0, 0).limit()).isEqualTo(6);
        assertThat(capacity(0, 0).slowdown()).isWithin(0.1).of(1);
        assertThat(capacity(1, 0).limit()).isEqualTo(12);
    }

    @Test
    void evidenceAgesOutInSeconds() {
        recordAll(10, 0.2, 0);
        record(0, 20, 0.2, 4, 0);
        assertThat(capacity(0, 0).slowdown()).isGreaterThan(2);
        assertThat(capacity(0, 12 * SECOND).slowdown()).isLessThan(1.3);
    }

    @Test
    void newRequestsReplaceOldEvidence() {
        recordAll(10, 0.2, 0);
        record(0, 200, 0.2, 4, 0);
        record(0, 40, 0.2, 1, SECOND);
        assertThat(capacity(0, SECOND).slowdown()).isLessThan(1.5);
    }

    @Test
    void restartedEndpointBeginsAnew() {
        recordAll(10, 0.2, 0);
        record(0, 20, 0.2, 4, 0);
        model.update(entry(0, 2), SECOND);
        assertThat(capacity(0, SECOND).slowdown()).isWithin(0.1).of(1);
        // A node that has not heard of the restart still sends the evidence before it.
        model.receive("b@1", List.of(evidence(0, 1, 10, 4)), SECOND);
        assertThat(capacity(0, SECOND).slowdown()).isWithin(0.1).of(1);
    }

    private static EndpointEvidence evidence(
            int index, long startedAtMillis, long count, double factor) {
        return new EndpointEvidence(
                "i-" + index,
                startedAtMillis,
                List.of(new ServiceTimeSum(0, count, 50.0 * count, 50 * count * factor)));
    }

    @Test
    void nodeThatIsItselfSlowDoesNotCondemnEndpoints() {
        recordAll(20, 0.2, 0);
        for (int i = 0; i < ENDPOINTS; i++) {
            model.receive("b@1", List.of(evidence(i, 1, 15, 1)), 0);
        }
        for (int round = 1; round <= 5; round++) {
            for (int i = 0; i < 3; i++) {
                model.receive("c@1", List.of(evidence(i, 1, 10 * round, 5)), 0);
            }
        }
        assertThat(capacity(0, 0).slowdown()).isLessThan(2);
    }

    @Test
    void evidenceOfOtherNodesCountsOnce() {
        recordAll(10, 0.2, 0);
        model.receive("b@1", List.of(evidence(0, 1, 10, 1)), 0);
        double before = capacity(0, 0).evidence();
        model.receive("b@1", List.of(evidence(0, 1, 10, 1)), 0);
        assertThat(capacity(0, 0).evidence()).isEqualTo(before);
    }

    @Test
    void longPromptIsNotASlowEndpoint() {
        recordAll(10, 0.2, 0);
        double expected = ExpectedTimes.engineMillis(50_000);
        for (int i = 0; i < 10; i++) {
            model.record("i-0", 0.2, expected, expected, 0);
        }
        assertThat(capacity(0, 0).slowdown()).isWithin(0.05).of(1);
    }

    @Test
    void absurdValuesAreIgnored() {
        double[] absurd = {Double.NaN, Double.POSITIVE_INFINITY, -1, 0};
        for (double value : absurd) {
            model.record("i-0", value, value, value, 0);
            model.record("i-0", 0.2, 50, value, 0);
            model.receive(
                    "b@1",
                    List.of(
                            new EndpointEvidence(
                                    "i-0",
                                    1,
                                    List.of(
                                            new ServiceTimeSum(0, 5, value, value),
                                            new ServiceTimeSum(-3, 5, 1, 1),
                                            new ServiceTimeSum(99, Long.MAX_VALUE, 1, 1)))),
                    -SECOND);
        }
        assertThat(capacity(0, -SECOND).evidence()).isEqualTo(0);
        assertThat(capacity(0, Long.MAX_VALUE).slowdown()).isEqualTo(1);
    }

    @Test
    void statusHasFewEndpointsAndOnlyThoseWithNews() {
        recordAll(1, 0.2, 0);
        assertThat(model.nextEvidence()).hasSize(6);
        record(0, 5, 0.2, 1, 0);
        assertThat(model.nextEvidence().getFirst().endpoint()).isEqualTo("i-6");
        assertThat(model.nextEvidence()).isEmpty();
    }
}
