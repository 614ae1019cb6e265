package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against reporting a window again, with other counts, whose record the store has lost. */
final class UsageReportsEraTest {
    private static final Map<String, Long> FOUR = Map.of("hay", 4L);
    private static final Map<String, Long> NINE = Map.of("hay", 9L);

    private final UsageCounts windows = UsageCounts.create(5_000);
    private final UsageReports reports = UsageReports.create(windows);
    private final ClusterUsage usage = ClusterUsage.create();

    @Test
    void nodeThatKnowsTheRecordWritesItBeforeItReports() {
        reports.loadRecorded(RecordedUsage.of(Map.of(100L, FOUR)));
        usage.report("n1", 100, NINE);
        long now = windows.endMillis(100) + 3_000;
        reports.mergeFormer(RecordedUsage.of(Map.of(99L, FOUR)), false, now);
        assertThat(reports.next(usage, true, now))
                .isEqualTo(new UsageStep.Record(Map.of(99L, FOUR, 100L, FOUR)));
        reports.retryLater(now);
        // The store is lost once more before the record is written.
        reports.mergeFormer(RecordedUsage.of(Map.of()), false, now + 1_000);
        UsageStep.Record record = (UsageStep.Record) reports.next(usage, true, now + 1_000);
        assertThat(record.windows()).containsExactly(99L, FOUR, 100L, FOUR);
        reports.loadRecorded(RecordedUsage.of(record.windows(), 2));
        assertThat(reports.next(usage, true, now + 1_100))
                .isEqualTo(new UsageStep.Report(99, FOUR));
    }

    @Test
    void windowThatMayHaveBeenReportedIsLeftOut() {
        usage.report("n1", 100, NINE);
        usage.report("n1", 101, NINE);
        long now = windows.endMillis(100) + 3_000;
        reports.mergeFormer(RecordedUsage.of(Map.of(99L, FOUR)), false, now);
        reports.loadRecorded(RecordedUsage.of(Map.of(99L, FOUR), 1));
        reports.confirm(99);
        assertThat(reports.next(usage, true, now)).isInstanceOf(UsageStep.Wait.class);
        assertThat(reports.next(usage, true, windows.endMillis(101) + 2_100))
                .isEqualTo(new UsageStep.Record(Map.of(99L, FOUR, 101L, NINE)));
    }

    @Test
    void formerHolderReportsWhatItHadNotRecorded() {
        usage.report("n1", 100, NINE);
        long now = windows.endMillis(100) + 3_000;
        reports.mergeFormer(RecordedUsage.of(Map.of(99L, FOUR)), true, now);
        reports.loadRecorded(RecordedUsage.of(Map.of(99L, FOUR), 1));
        reports.confirm(99);
        assertThat(reports.next(usage, true, now))
                .isEqualTo(new UsageStep.Record(Map.of(99L, FOUR, 100L, NINE)));
    }
}
