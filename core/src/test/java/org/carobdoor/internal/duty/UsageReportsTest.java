package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against reporting a window twice with different counts. */
final class UsageReportsTest {
    private static final long WINDOW = 5_000;

    private final UsageCounts windows = UsageCounts.create(WINDOW);
    private final UsageReports reports = UsageReports.create(windows);
    private final ClusterUsage usage = ClusterUsage.create();

    @Test
    void windowIsRecordedBeforeItIsReported() {
        usage.report("n1", 100, Map.of("hay", 4L));
        long end = windows.endMillis(100);
        UsageStep first = reports.next(usage, true, end + 2_100);
        assertThat(first).isInstanceOf(UsageStep.Record.class);
        reports.loadRecorded(RecordedUsage.of(((UsageStep.Record) first).windows()));
        usage.report("n1", 100, Map.of("hay", 9L));
        assertThat(reports.next(usage, true, end + 2_200))
                .isEqualTo(new UsageStep.Report(100, Map.of("hay", 4L)));
    }

    @Test
    void unansweredReportIsRepeatedExactly() {
        reports.loadRecorded(RecordedUsage.of(Map.of(100L, Map.of("hay", 4L))));
        long now = windows.endMillis(100) + 3_000;
        UsageStep first = reports.next(usage, true, now);
        reports.retryLater(now);
        assertThat(reports.next(usage, true, now + 100)).isInstanceOf(UsageStep.Wait.class);
        assertThat(reports.next(usage, true, now + 1_000)).isEqualTo(first);
        reports.confirm(100);
        assertThat(reports.next(usage, true, now + 1_100)).isInstanceOf(UsageStep.Wait.class);
    }

    @Test
    void recordedWindowWithUnreadableCountsIsNotReportedWithOthers() {
        usage.report("n1", 100, Map.of("hay", 4L));
        reports.loadRecorded(new RecordedUsage(Map.of(), 100));
        assertThat(reports.next(usage, true, windows.endMillis(100) + 3_000))
                .isInstanceOf(UsageStep.Wait.class);
    }

    @Test
    void openWindowIsNotRecorded() {
        usage.report("n1", 100, Map.of("hay", 4L));
        assertThat(reports.next(usage, true, windows.endMillis(100) + 100))
                .isInstanceOf(UsageStep.Wait.class);
    }

    @Test
    void waitsLongerForANodeThatIsNotHeard() {
        usage.report("n1", 100, Map.of("hay", 4L));
        assertThat(reports.next(usage, false, windows.endMillis(100) + 3_000))
                .isInstanceOf(UsageStep.Wait.class);
        assertThat(reports.next(usage, false, windows.endMillis(100) + 9_000))
                .isInstanceOf(UsageStep.Record.class);
    }

    @Test
    void countsOfAllRunsAddUp() {
        usage.report("n1@1", 100, Map.of("hay", 4L));
        usage.report("n1@2", 100, Map.of("hay", 3L));
        usage.report("n1@2", 100, Map.of("hay", 2L));
        assertThat(usage.total(100)).containsExactly("hay", 7L);
    }
}
