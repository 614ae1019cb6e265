package org.carobdoor.node.catalogue;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that revert to an older revision, that reappear after their removal when
 * updates arrive out of order, and that match paths of other services.
 */
final class CatalogueViewTest {
    private final CatalogueView view = new CatalogueView();

    @Test
    void lowerRevisionDoesNotReplaceHigher() {
        view.put(service("bids", "bids", 2));
        assertThat(view.put(service("bids", "old", 1))).isFalse();
        assertThat(view.find("bids").orElseThrow().pathPrefix()).isEqualTo("bids");
    }

    @Test
    void olderRevisionDoesNotRestoreRemovedEntry() {
        view.put(service("bids", "bids", 2));
        view.remove("bids", 3);
        view.put(service("bids", "bids", 2));
        assertThat(view.find("bids")).isEmpty();
    }

    @Test
    void recreatedEntryIsActive() {
        view.remove("bids", 3);
        view.put(service("bids", "bids", 4));
        assertThat(view.find("bids")).isPresent();
    }

    @Test
    void longestPrefixWins() {
        view.put(service("auction", "auction", 1));
        view.put(service("bids", "auction/bids", 1));
        assertThat(view.findService("/auction/bids/7").orElseThrow().name()).isEqualTo("bids");
    }

    @Test
    void prefixMatchesWholePathSegmentsOnly() {
        view.put(service("bids", "bids", 1));
        assertThat(view.findService("/bidsandmore")).isEmpty();
    }

    private static CatalogueEntry service(String name, String prefix, long revision) {
        return new CatalogueEntry(
                name,
                new ClientAccount("hay"),
                EntryKind.SERVICE,
                1,
                Set.of(),
                "auction",
                prefix,
                false,
                true,
                new EntryLimits(0, 0, 0, 0),
                new EntryObjective(1800, 68, 95),
                revision);
    }
}
