package org.carobdoor.message;

import java.util.List;

/**
 * Reports that a request with a feature was answered completely after crashes that the feature was
 * suspected of.
 *
 * @param feature the feature
 * @param crashes the crashes that it did not cause
 */
public record FeatureClearance(RequestFeature feature, List<CrashId> crashes)
        implements QuarantineMessage {

    /** Copies the list. */
    public FeatureClearance {
        crashes = List.copyOf(crashes);
    }
}
