package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.carobdoor.Bytes;
import org.carobdoor.internal.duty.ClusterUsage;
import org.junit.jupiter.api.Test;

/** Guards against counts that a later holder of the duties reads differently. */
final class UsageRecordTest {
    @Test
    void recordedWindowsSurviveTheStore() {
        Map<Long, Map<String, Long>> windows =
                Map.of(7L, Map.of("hay", 3L, "soc", 4L), 8L, Map.of());
        assertThat(UsageRecord.decode(UsageRecord.encode(windows))).isEqualTo(windows);
    }

    @Test
    void openCountsSurviveTheStore() {
        ClusterUsage usage = ClusterUsage.create();
        usage.report("n1@1", 7, Map.of("hay", 3L));
        usage.report("n2@1", 7, Map.of("hay", 2L));
        ClusterUsage read = ClusterUsage.create();
        UsageRecord.decodeOpen(UsageRecord.encodeOpen(usage.since(0)), read);
        assertThat(read.total(7)).containsExactly("hay", 5L);
    }

    @Test
    void malformedLinesArePassedOver() {
        assertThat(UsageRecord.decode(Bytes.utf8("x hay=3\n7 hay=3 soc=x\n")))
                .containsExactly(7L, Map.of("hay", 3L));
    }
}
