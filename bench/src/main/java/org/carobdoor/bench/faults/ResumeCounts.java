package org.carobdoor.bench.faults;

import java.util.concurrent.atomic.AtomicInteger;

/** What became of the streams of a gateway soak that callers may take up again. */
final class ResumeCounts {
    final AtomicInteger begun = new AtomicInteger();
    final AtomicInteger notBegun = new AtomicInteger();
    final AtomicInteger takenUp = new AtomicInteger();
    final AtomicInteger wentOn = new AtomicInteger();

    @Override
    public String toString() {
        return "streams begun "
                + begun
                + " of "
                + (begun.get() + notBegun.get())
                + ", taken up again "
                + takenUp
                + ", went on "
                + wentOn;
    }
}
