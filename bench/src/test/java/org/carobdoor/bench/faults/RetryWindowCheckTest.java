package org.carobdoor.bench.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against a soak that does not notice retries over the budget. */
final class RetryWindowCheckTest {
    private static final RetryWindowCheck CHECK = new RetryWindowCheck(0.2, 3, 1_000);

    @Test
    void retriesWithinTheShareAndTheFixedNumberAreAllowed() {
        assertThat(isOverBudget(every(10, -3_000, 3_000), at(0, 23))).isFalse();
        assertThat(isOverBudget(every(10, -3_000, 3_000), at(0, 24))).isTrue();
    }

    @Test
    void retriesOfTwoWindowsAreNotAddedUp() {
        assertThat(isOverBudget(List.of(), concat(at(0, 3), at(1_000, 3)))).isFalse();
    }

    @Test
    void windowsSlide() {
        List<Long> retries = concat(at(900, 2), at(1_100, 2));
        assertThat(isOverBudget(List.of(), retries)).isTrue();
    }

    @Test
    void requestsOfTheWindowBeforeCount() {
        assertThat(isOverBudget(every(10, 0, 2_000), at(2_000, 23))).isFalse();
        assertThat(isOverBudget(every(10, 0, 2_000), at(2_000, 24))).isTrue();
        assertThat(isOverBudget(every(10, 0, 2_000), at(2_500, 14))).isTrue();
    }

    @Test
    void thereIsNoWindowWithoutRetries() {
        assertThat(CHECK.worst(every(10, 0, 1_000), List.of())).isEmpty();
    }

    @Test
    void theWorstWindowIsReported() {
        RetryWindowCheck.Window w =
                CHECK.worst(List.of(), concat(at(0, 5), at(5_000, 9))).orElseThrow();
        assertThat(w.retries()).isEqualTo(9);
        assertThat(w.allowed()).isEqualTo(3.0);
    }

    private static boolean isOverBudget(List<Long> requests, List<Long> retries) {
        return CHECK.worst(requests, retries).orElseThrow().isOverBudget();
    }

    private static List<Long> every(long step, long start, long end) {
        return LongStream.iterate(start, t -> t < end, t -> t + step).boxed().toList();
    }

    private static List<Long> at(long time, int count) {
        return Collections.nCopies(count, time);
    }

    private static List<Long> concat(List<Long> a, List<Long> b) {
        return Stream.concat(a.stream(), b.stream()).toList();
    }
}
