package org.carobdoor.node.gateway.net;

import io.netty.channel.IoHandlerFactory;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Measures how regularly the event loop polls its connections. Confined to the event loop, but for
 * {@link #factory}.
 */
public final class LoopMonitor {
    private static final long MAX_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram gaps = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final DecisionLog log;
    private final PollClock polls = PollClock.create();
    private long pollEndNanos = System.nanoTime();

    private LoopMonitor(DecisionLog log) {
        this.log = log;
    }

    /** Returns a monitor that logs late polls to {@code log}. */
    public static LoopMonitor create(DecisionLog log) {
        return new LoopMonitor(log);
    }

    /** Returns the factory of the handler of a single loop, which this monitor measures. */
    public IoHandlerFactory factory(IoHandlerFactory handlers) {
        return executor -> new MonitoredIoHandler(handlers.newHandler(executor), this);
    }

    /** Returns the bounds on the waits of data that is read now. */
    public PollClock polls() {
        return polls;
    }

    void pollBegins() {
        long now = System.nanoTime();
        long tasksNanos = now - pollEndNanos;
        long gapNanos = polls.recordPoll(now);
        gaps.recordValue(Math.min(MAX_MILLIS, TimeUnit.NANOSECONDS.toMillis(gapNanos)));
        if (gapNanos > PollClock.ON_TIME_NANOS) {
            log.line("loop.late")
                    .add("ms", TimeUnit.NANOSECONDS.toMillis(gapNanos))
                    .add("tasks_ms", TimeUnit.NANOSECONDS.toMillis(tasksNanos))
                    .write();
        }
    }

    void pollEnded() {
        pollEndNanos = System.nanoTime();
    }

    /** Appends the metrics in the Prometheus text format. */
    public void writeMetrics(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_loop_gap_ms summary\n");
        for (double q : new double[] {0.5, 0.99, 1}) {
            to.append("carobdoor_gateway_loop_gap_ms{quantile=\"")
                    .append(q)
                    .append("\"} ")
                    .append(gaps.getValueAtPercentile(q * 100))
                    .append('\n');
        }
        to.append("carobdoor_gateway_loop_gap_ms_count ").append(gaps.getTotalCount()).append('\n');
    }
}
