package org.carobdoor.bench.faults;

import java.util.concurrent.atomic.AtomicInteger;

/** What the callers of a gateway soak got. */
final class GatewaySoakCounts {
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final AtomicInteger broken = new AtomicInteger();
    final AtomicInteger quarantined = new AtomicInteger();
    final AtomicInteger soundQuarantined = new AtomicInteger();

    @Override
    public String toString() {
        return "served "
                + served
                + ", refused "
                + refused
                + ", failed "
                + failed
                + ", broken "
                + broken
                + ", quarantined "
                + quarantined
                + ", sound quarantined "
                + soundQuarantined;
    }
}
