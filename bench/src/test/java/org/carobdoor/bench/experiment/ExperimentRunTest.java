package org.carobdoor.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.bench.experiment.Scenario.ReclaimWave;
import org.carobdoor.bench.experiment.Scenario.Resumption;
import org.carobdoor.bench.experiment.Scenario.Routing;
import org.carobdoor.internal.fleet.FleetNeed;
import org.junit.jupiter.api.Test;

/** Guards against runs that are not reproducible and against requests lost in a reclaim. */
final class ExperimentRunTest {
    private static final Scenario BASE =
            new Scenario(
                    Workload.debating(8),
                    Routing.AFFINITY,
                    Resumption.RESTART,
                    o -> true,
                    new FleetNeed(700, 200),
                    6,
                    60,
                    List.of(new ReclaimWave(30, "a", 1)),
                    5,
                    false);

    @Test
    void sameSeedGivesTheSameOutcome() {
        RunMetrics first = ExperimentRun.execute(BASE, 7);
        RunMetrics second = ExperimentRun.execute(BASE, 7);
        assertThat(second.p95(0)).isEqualTo(first.p95(0));
        assertThat(second.generated).isEqualTo(first.generated);
        assertThat(second.recomputed).isEqualTo(first.recomputed);
    }

    @Test
    void everyAcceptedRequestFinishesAndExportRecomputesLess() {
        RunMetrics restart = ExperimentRun.execute(BASE, 7);
        RunMetrics export = ExperimentRun.execute(BASE.with(Resumption.EXPORT), 7);
        for (RunMetrics o : List.of(restart, export)) {
            assertThat(o.failed).isEqualTo(0);
            assertThat(o.finished)
                    .isEqualTo(o.offered[1] + o.offered[2] + o.offered[3] + o.offered[4]);
            assertThat(o.sendsAfterBound).isEqualTo(0);
        }
        assertThat(restart.recomputed).isGreaterThan(10_000);
        assertThat(export.recomputed).isLessThan(restart.recomputed / 10);
    }
}
