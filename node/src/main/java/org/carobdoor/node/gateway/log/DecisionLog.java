package org.carobdoor.node.gateway.log;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs one line for each decision, as {@code event key=value ...}. A token bucket limits the rate,
 * so that a burst of requests does not flood the log; the next line that is written has the number
 * of lines that were dropped before.
 *
 * <pre>{@code
 * log.line("request.refused").add("id", id).add("cause", "saturated").write();
 * }</pre>
 *
 * <p>Lines must be written by one thread.
 */
public final class DecisionLog {
    /** Several times the requests per second that one VM serves at the sites' peak. */
    private static final int LINES_PER_SECOND = 150;

    /** Lines that a burst may write in excess of the rate. */
    private static final int BURST_LINES = 300;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Logger logger = LoggerFactory.getLogger("org.carobdoor.decisions");
    private final AtomicLong droppedTotal = new AtomicLong();
    private double tokens = BURST_LINES;
    private long refilledAtNanos;
    private long droppedSinceLastLine;

    private DecisionLog(long nowNanos) {
        refilledAtNanos = nowNanos;
    }

    /** Creates a log with a full burst allowance. */
    public static DecisionLog create() {
        return new DecisionLog(System.nanoTime());
    }

    /** Starts a line about {@code event}. */
    public Line line(String event) {
        return new Line(event);
    }

    /** Logs an unexpected exception of a step, with its stack trace. */
    public void error(String step, RuntimeException e) {
        if (tryAcquire()) {
            logger.error("step.failed step={}", step, e);
        }
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedCount() {
        return droppedTotal.get();
    }

    /** Replaces control characters, which could end the line and begin one that looks real. */
    static String singleLine(CharSequence text) {
        StringBuilder line = new StringBuilder(text);
        for (int i = 0; i < line.length(); i++) {
            if (Character.isISOControl(line.charAt(i))) {
                line.setCharAt(i, '?');
            }
        }
        return line.toString();
    }

    private boolean tryAcquire() {
        long now = System.nanoTime();
        tokens =
                Math.min(
                        BURST_LINES,
                        tokens + (now - refilledAtNanos) / NANOS_PER_SECOND * LINES_PER_SECOND);
        refilledAtNanos = now;
        if (tokens < 1) {
            droppedSinceLastLine++;
            droppedTotal.incrementAndGet();
            return false;
        }
        tokens--;
        return true;
    }

    /** Builds one line. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(160);

        private Line(String event) {
            text.append(event);
        }

        /** Adds a field. */
        public Line add(String key, Object value) {
            text.append(' ').append(key).append('=').append(value);
            return this;
        }

        /** Adds a numeric field. */
        public Line add(String key, long value) {
            text.append(' ').append(key).append('=').append(value);
            return this;
        }

        /** Writes the line, or counts it as dropped if the rate is exceeded. */
        public void write() {
            if (tryAcquire()) {
                writeSummary();
            }
        }

        /** Writes the line at any rate. For periodic lines, which requests cannot multiply. */
        public void writeSummary() {
            if (droppedSinceLastLine > 0) {
                add("left_out", droppedSinceLastLine);
                droppedSinceLastLine = 0;
            }
            logger.info(singleLine(text));
        }
    }
}
