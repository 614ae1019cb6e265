package org.carobdoor.standins.platform;

import java.util.function.UnaryOperator;

/** Holds the faults that are currently simulated. This class is thread-safe. */
final class ActiveFaults {
    private PlatformFaults faults;

    ActiveFaults(PlatformFaults faults) {
        this.faults = faults;
    }

    synchronized PlatformFaults get() {
        return faults;
    }

    synchronized void update(UnaryOperator<PlatformFaults> change) {
        faults = change.apply(faults);
    }

    /** Returns whether to lose the response to a write, and decrements the count if so. */
    synchronized boolean consumeLostAnswer() {
        if (faults.loseAnswers() <= 0) {
            return false;
        }
        faults = faults.withLoseAnswers(faults.loseAnswers() - 1);
        return true;
    }
}
