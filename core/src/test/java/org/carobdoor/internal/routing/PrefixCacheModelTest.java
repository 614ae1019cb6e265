package org.carobdoor.internal.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.internal.routing.CacheChange.Kind;
import org.junit.jupiter.api.Test;

/** Guards against estimates that contradict the cache events of an engine. */
final class PrefixCacheModelTest {
    private static final PrefixHashes PREFIX = PrefixHashes.of(new long[] {1, 2, 3, 4}, 64);

    private final PrefixCacheModel model = PrefixCacheModel.create(100);

    @Test
    void matchCountsLeadingBlocksOnly() {
        model.onRouted(EndpointFixture.id(0), PREFIX);
        model.onEvents(EndpointFixture.id(0), List.of(new CacheChange(1, Kind.EVICTED, 3)));
        assertThat(model.match(PREFIX)).containsExactly(EndpointFixture.id(0), 2);
    }

    @Test
    void repeatedEventsAreIgnored() {
        var stored = new CacheChange(1, Kind.STORED, 1);
        model.onEvents(EndpointFixture.id(0), List.of(stored, new CacheChange(2, Kind.EVICTED, 1)));
        model.onEvents(EndpointFixture.id(0), List.of(stored));
        assertThat(model.match(PREFIX)).isEmpty();
    }

    @Test
    void gapDropsTheOlderHalf() {
        model.onEvents(EndpointFixture.id(0), List.of(new CacheChange(1, Kind.STORED, 9)));
        model.onRouted(EndpointFixture.id(0), PrefixHashes.of(new long[] {5, 6, 7}, 64));
        model.onEvents(EndpointFixture.id(0), List.of(new CacheChange(5, Kind.STORED, 1)));
        assertThat(model.match(PrefixHashes.of(new long[] {9}, 64))).isEmpty();
        assertThat(model.match(PrefixHashes.of(new long[] {5, 6}, 64)))
                .containsExactly(EndpointFixture.id(0), 2);
    }

    @Test
    void evictionKeepsSharedPrefix() {
        PrefixCacheModel small = PrefixCacheModel.create(3);
        small.onRouted(EndpointFixture.id(0), PREFIX);
        assertThat(small.match(PREFIX)).containsExactly(EndpointFixture.id(0), 3);
    }
}
