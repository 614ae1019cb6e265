package org.carobdoor.bench.faults;

/** Traffic of one kind, with checks of the guarantees that apply to it. */
interface Workload {

    /**
     * Runs one round of requests. One thread calls this repeatedly. Failures that faults may cause
     * are handled and do not throw.
     */
    void runRound() throws InterruptedException;

    /** Runs the checks that are possible only when no fault is active any more. */
    void checkAfterFaults() throws InterruptedException;

    /** Returns one line with the counters of this workload. */
    String summary();
}
