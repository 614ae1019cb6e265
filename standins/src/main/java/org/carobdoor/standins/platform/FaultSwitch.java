package org.carobdoor.standins.platform;

import java.util.function.UnaryOperator;

/** Holds the faults that are imitated now; safe for several threads. */
final class FaultSwitch {
    private PlatformFaults faults;

    FaultSwitch(PlatformFaults faults) {
        this.faults = faults;
    }

    synchronized PlatformFaults get() {
        return faults;
    }

    synchronized void update(UnaryOperator<PlatformFaults> change) {
        faults = change.apply(faults);
    }

    /** Returns whether the answer of a write is to be lost, and counts it if so. */
    synchronized boolean takeLostAnswer() {
        if (faults.loseAnswers() <= 0) {
            return false;
        }
        faults = faults.withLoseAnswers(faults.loseAnswers() - 1);
        return true;
    }
}
