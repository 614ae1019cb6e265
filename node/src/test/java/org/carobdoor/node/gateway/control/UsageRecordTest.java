package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.carobdoor.Bytes;
import org.carobdoor.internal.duty.ClusterUsage;
import org.junit.jupiter.api.Test;

/** Guards against usage counts that a later duty holder decodes differently. */
final class UsageRecordTest {
    @Test
    void decodesEncodedReportedCounts() {
        Map<Long, Map<String, Long>> windows =
                Map.of(7L, Map.of("hay", 3L, "soc", 4L), 8L, Map.of());
        assertThat(UsageRecord.decode(UsageRecord.encode(windows))).isEqualTo(windows);
    }

    @Test
    void decodesEncodedUnreportedCounts() {
        ClusterUsage usage = ClusterUsage.create();
        usage.report("n1@1", 7, Map.of("hay", 3L));
        usage.report("n2@1", 7, Map.of("hay", 2L));
        ClusterUsage decoded = ClusterUsage.create();
        UsageRecord.decodeUnreported(UsageRecord.encodeUnreported(usage.since(0)), decoded);
        assertThat(decoded.total(7)).containsExactly("hay", 5L);
    }

    @Test
    void ignoresMalformedLines() {
        assertThat(UsageRecord.decode(Bytes.utf8("x hay=3\n7 hay=3 soc=x\n")))
                .containsExactly(7L, Map.of("hay", 3L));
    }
}
