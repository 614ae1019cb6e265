package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a list that is still empty after a loss of the store being taken for complete. */
final class NodeCensusTest {
    @Test
    void countOfARestartedNodeIsCompleteOnlyAfterItsLeaseWasRenewed() {
        NodeCensus census = NodeCensus.create(false);
        assertThat(census.count(Set.of("a"), 0)).isEqualTo(1);
        assertThat(census.isComplete()).isFalse();
        census.recordRenewed();
        assertThat(census.isComplete()).isTrue();
    }

    @Test
    void countAtTheFirstStartOfTheClusterIsComplete() {
        assertThat(NodeCensus.create(true).isComplete()).isTrue();
    }
}
