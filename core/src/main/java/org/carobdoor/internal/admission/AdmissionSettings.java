package org.carobdoor.internal.admission;

import java.time.Duration;
import java.util.List;
import org.carobdoor.internal.Preconditions;

/**
 * Settings of {@link Admission}.
 *
 * @param shares the fraction of the capacity up to which each priority class is admitted, class 1
 *     first; each smaller than the one before
 * @param initialTokens outstanding tokens that an endpoint is assumed to take before anything is
 *     measured
 * @param minTokens lower bound of the measured capacity of an endpoint, in outstanding tokens
 * @param adjustEvery interval between adjustments of the measured capacity
 * @param minSamples minimum number of requests for an adjustment
 * @param decrease factor applied to the capacity when the objective was missed
 * @param increase factor applied to the capacity when the objective was met and most of the
 *     capacity was in use
 */
public record AdmissionSettings(
        List<Double> shares,
        double initialTokens,
        double minTokens,
        Duration adjustEvery,
        int minSamples,
        double decrease,
        double increase) {

    /** Checks that lower classes are always shed before higher ones. */
    public AdmissionSettings {
        shares = List.copyOf(shares);
        for (int i = 1; i < shares.size(); i++) {
            Preconditions.checkArgument(
                    shares.get(i) < shares.get(i - 1),
                    "the share of each class must be smaller than that of the class above");
        }
        Preconditions.checkArgument(
                decrease < 1 && increase > 1, "decrease must be below 1 and increase above 1");
    }

    /** Returns the default settings, which apply unless an operator changes them. */
    public static AdmissionSettings defaults() {
        // Engines run class 1 before all others, and only class 1 is admitted above the capacity,
        // so it is shed only when it alone overloads the endpoints. The high initial capacity
        // avoids shedding before anything is measured; the capacity can fall by 10 % per second.
        return new AdmissionSettings(
                List.of(4.0, 1.0, 0.8, 0.6), 20_000, 1_000, Duration.ofSeconds(1), 10, 0.9, 1.02);
    }
}
