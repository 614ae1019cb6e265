package org.carobdoor.node.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.Random;
import org.carobdoor.internal.retries.RetryAllowance;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against a log that does not show which retries the budget has granted and denied. */
final class RetryTallyTest {
    @Test
    void summaryNamesCausesOfGrantedAndDeniedRetriesAlsoWhenTheLogIsFull() {
        Logger logger = (Logger) LoggerFactory.getLogger("org.carobdoor.decisions");
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        logger.setLevel(Level.INFO);
        DecisionLog log = DecisionLog.create();
        RetryTally tally = new RetryTally();
        RetryBudgets budgets =
                RetryBudgets.create(new RetryAllowance(0.2, 54, 10_000_000_000L), new Random(1), 0);
        budgets.setNodes(7, 0);
        for (int i = 0; i < 1_000; i++) {
            log.line("request.ended").write();
        }
        tally.record("desk", "broken", true);
        tally.record("desk", "broken", true);
        tally.record("desk", "status_500", false);
        tally.writeSummary(budgets, log, 1);
        tally.writeSummary(budgets, log, 2);
        logger.detachAppender(lines);
        logger.setLevel(null);
        assertThat(lines.list.getLast().getFormattedMessage())
                .startsWith(
                        "retries service=desk granted={broken=2} denied={status_500=1}"
                                + " balance=0.0 nodes=7 left_out=");
        assertThat(
                        lines.list.stream()
                                .filter(l -> l.getFormattedMessage().startsWith("retries "))
                                .toList())
                .hasSize(1);
    }
}
