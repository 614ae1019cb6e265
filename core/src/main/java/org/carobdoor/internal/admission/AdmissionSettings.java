package org.carobdoor.internal.admission;

import java.time.Duration;
import java.util.List;
import org.carobdoor.internal.Preconditions;

/**
 * Settings of {@link Admission}.
 *
 * @param shares the share of the capacity up to which each class is admitted, class 1 first, each
 *     smaller than the one before
 * @param initialTokens outstanding tokens assumed to fit an endpoint before anything is measured
 * @param minTokens lower bound of the measured capacity of an endpoint, in outstanding tokens
 * @param adjustEvery how often the measured capacity is adjusted
 * @param minSamples requests needed for an adjustment
 * @param decrease factor on the capacity when the objective was missed
 * @param increase factor on the capacity when it was met and most of the capacity was in use
 */
public record AdmissionSettings(
        List<Double> shares,
        double initialTokens,
        double minTokens,
        Duration adjustEvery,
        int minSamples,
        double decrease,
        double increase) {

    /** Checks that a lower class is always shed before a higher one. */
    public AdmissionSettings {
        shares = List.copyOf(shares);
        for (int i = 1; i < shares.size(); i++) {
            Preconditions.checkArgument(
                    shares.get(i) < shares.get(i - 1), "shares must fall from class to class");
        }
        Preconditions.checkArgument(decrease < 1 && increase > 1, "factors out of range");
    }

    /** Returns the settings that are in force unless an operator changes them. */
    public static AdmissionSettings defaults() {
        // Engines run class 1 before all others, and above the capacity only class 1 is admitted,
        // so it is shed only when it overloads the endpoints by itself. The high start avoids
        // shedding before anything is measured; the capacity falls by a tenth a second.
        return new AdmissionSettings(
                List.of(4.0, 1.0, 0.8, 0.6), 20_000, 1_000, Duration.ofSeconds(1), 10, 0.9, 1.02);
    }
}
