package org.carobdoor.message;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Matches the requests that have all of a few features.
 *
 * <p>Crashes often have several features in common, of which one is the cause. Requests that lack
 * one of them are not refused, since they may be sound.
 *
 * @param features the features in a fixed order; at least one
 */
public record RequestPattern(List<RequestFeature> features) {
    /** Limits the length of {@link #toString}. */
    public static final int MAX_FEATURES = 4;

    private static final String SEPARATOR = "+";

    /** Copies the list. */
    public RequestPattern {
        features = List.copyOf(features);
    }

    /** Returns the pattern with the text {@code text}; empty if it is none. */
    public static Optional<RequestPattern> parse(String text) {
        List<RequestFeature> features = new ArrayList<>();
        for (String part : text.split("\\" + SEPARATOR, -1)) {
            @Nullable RequestFeature f = RequestFeature.parse(part);
            if (f == null || features.size() >= MAX_FEATURES) {
                return Optional.empty();
            }
            features.add(f);
        }
        return Optional.of(new RequestPattern(features));
    }

    /** Returns whether a request has all features of this pattern. */
    public boolean matches(RequestFeatures request) {
        return features.stream()
                .allMatch(f -> request.shared().contains(f) || request.own().equals(f));
    }

    /** Returns whether this pattern matches all requests that {@code other} matches. */
    public boolean covers(RequestPattern other) {
        return new HashSet<>(other.features).containsAll(features);
    }

    /** Returns the text used in logs and keys, such as {@code part-91bd3f06+part-5c1e07a2}. */
    @Override
    public String toString() {
        return String.join(SEPARATOR, features.stream().map(RequestFeature::toString).toList());
    }
}
