package org.carobdoor.internal.burn;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.junit.jupiter.api.Test;

/** Guards against burn rates over the wrong window, and against missed requests without a cause. */
final class BurnRateTrackerTest {
    private Instant now = Instant.parse("2026-12-04T00:00:00Z");
    private final BurnRateTracker tracker = BurnRateTracker.create(() -> now);

    private static CatalogueEntry entry(String name) {
        return new CatalogueEntry(
                name,
                new ClientAccount("hay"),
                EntryKind.MODEL,
                2,
                Set.of("m"),
                "",
                "",
                true,
                true,
                new EntryLimits(0, 0, 0, 0),
                new EntryObjective(1_800, 68, 95),
                1);
    }

    private void finish(int good, int missed) {
        for (int i = 0; i < good + missed; i++) {
            var cause = i < good ? Optional.<MissCause>empty() : Optional.of(MissCause.RECLAIM);
            tracker.onFinished(entry("drafts"), cause, 0.5, 3);
        }
    }

    private EntryBurn burn() {
        return tracker.report().getFirst();
    }

    @Test
    void burnRateIsMissedFractionOverAllowedFraction() {
        finish(90, 10);
        assertThat(burn().burnRate(Window.M5)).isWithin(1e-9).of(2);
        assertThat(burn().budgetLeft()).isWithin(1e-9).of(-1);
        assertThat(burn().cost()).isWithin(1e-9).of(50);
        assertThat(burn().recomputedTokens()).isEqualTo(300);
    }

    @Test
    void missedRequestsExpireFromEachWindow() {
        finish(0, 10);
        for (Window w : Window.values()) {
            now = Instant.parse("2026-12-04T00:00:00Z").plus(w.length()).minusSeconds(1);
            assertThat(burn().burnRate(w)).isWithin(1e-9).of(20);
            now = now.plus(Duration.ofSeconds(32));
            assertThat(burn().burnRate(w)).isEqualTo(0);
        }
        assertThat(burn().all()).isEqualTo(new RequestCounts(0, 10));
    }

    @Test
    void longIdleTimeClearsAllBuckets() {
        finish(5, 5);
        now = now.plus(Duration.ofDays(400));
        finish(1, 0);
        assertThat(burn().windows().get(Window.H6)).isEqualTo(new RequestCounts(1, 1));
    }

    @Test
    void urgencyRequiresBothWindows() {
        finish(100, 0);
        now = now.plus(Duration.ofMinutes(50));
        finish(0, 10);
        assertThat(burn().burnRate(Window.M5)).isWithin(1e-9).of(20);
        assertThat(burn().isUrgent()).isFalse();
        finish(0, 400);
        assertThat(burn().isUrgent()).isTrue();
    }

    @Test
    void mergeAddsReportsOfNodes() {
        finish(9, 1);
        BurnRateTracker peer = BurnRateTracker.create(() -> now);
        peer.onFinished(entry("drafts"), Optional.of(MissCause.SHED), 1, 0);
        peer.onFinished(entry("bids"), Optional.empty(), 1, 0);
        List<EntryBurn> sum = BurnRateTracker.merge(List.of(tracker.report(), peer.report()));
        assertThat(sum.stream().map(EntryBurn::name)).containsExactly("bids", "drafts").inOrder();
        assertThat(sum.get(1).all()).isEqualTo(new RequestCounts(9, 11));
        assertThat(sum.get(1).causes().get(MissCause.SHED)).isEqualTo(1);
        assertThat(sum.get(1).windows().get(Window.H1)).isEqualTo(new RequestCounts(9, 11));
    }
}
