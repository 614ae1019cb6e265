package org.carobdoor.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Excludes offers for some time after refusals, with exponential back-off. Not thread-safe. */
final class BackOff {
    private record Refused(Offer offer, int times, Instant until) {}

    private final FleetSettings settings;
    private final RandomGenerator random;
    private final List<Refused> refused = new ArrayList<>();

    BackOff(FleetSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    void onRefused(Offer offer, Instant now) {
        int times = 1;
        for (Refused r : refused) {
            if (r.offer.isSameKind(offer)) {
                // Refusals that arrive during a back-off belong to one batch and count once.
                times = r.until.isAfter(now) ? r.times : r.times + 1;
            }
        }
        onAccepted(offer);
        long millis =
                Math.min(
                        settings.backOffMax().toMillis(),
                        settings.backOffBase().toMillis() << Math.min(20, times - 1));
        // Jitter spreads the retries of offers that were refused together.
        Duration wait = Duration.ofMillis(millis + random.nextLong(millis / 4 + 1));
        refused.add(new Refused(offer, times, now.plus(wait)));
    }

    void onAccepted(Offer offer) {
        refused.removeIf(r -> r.offer.isSameKind(offer));
    }

    boolean allows(Offer offer, Instant now) {
        return refused.stream().noneMatch(r -> r.offer.isSameKind(offer) && r.until.isAfter(now));
    }
}
