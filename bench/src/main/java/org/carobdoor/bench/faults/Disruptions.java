package org.carobdoor.bench.faults;

import java.util.ArrayList;
import java.util.List;

/** When nodes were killed, stopped or suspended, and the store was down. Thread-safe. */
final class Disruptions {
    private static final String STORE = "the store";

    /** A disruption, which ends when it is closed. */
    static final class Span implements AutoCloseable {
        private final String what;
        private final long startNanos = System.nanoTime();
        private volatile long endNanos = Long.MAX_VALUE;

        private Span(String what) {
            this.what = what;
        }

        private boolean overlaps(long fromNanos, long untilNanos) {
            boolean open = endNanos == Long.MAX_VALUE;
            return startNanos - untilNanos < 0 && (open || endNanos - fromNanos > 0);
        }

        @Override
        public void close() {
            endNanos = System.nanoTime();
        }
    }

    private final List<Span> spans = new ArrayList<>();
    private final long contactNanos;

    /**
     * Creates an instance without disruptions.
     *
     * @param contactNanos how long after a disruption a node is in touch again
     */
    Disruptions(long contactNanos) {
        this.contactNanos = contactNanos;
    }

    /** Begins a disruption of a node. */
    Span begin(String node) {
        Span s = new Span(node);
        synchronized (this) {
            spans.add(s);
        }
        return s;
    }

    /** Records that the store goes down or is up again. */
    synchronized void recordStore(boolean down) {
        if (down) {
            spans.add(new Span(STORE));
        } else {
            spans.stream()
                    .filter(s -> s.what.equals(STORE) && s.endNanos == Long.MAX_VALUE)
                    .forEach(Span::close);
        }
    }

    /** Returns whether a node was disrupted between two times, in {@link System#nanoTime}. */
    synchronized boolean wasDisrupted(String node, long fromNanos, long untilNanos) {
        return spans.stream()
                .anyMatch(s -> s.what.equals(node) && s.overlaps(fromNanos, untilNanos));
    }

    /** Returns whether a node was in touch with the store from one time to another. */
    synchronized boolean wasInTouch(String node, long fromNanos, long untilNanos) {
        long from = fromNanos - contactNanos;
        return spans.stream()
                .noneMatch(
                        s ->
                                (s.what.equals(node) || s.what.equals(STORE))
                                        && s.overlaps(from, untilNanos));
    }
}
