package org.carobdoor.bench.faults;

/** A kind of traffic that checks the promises about it. */
interface Workload {

    /** Does one round. Called again and again by one thread; expected failures are handled. */
    void round() throws InterruptedException;

    /** Checks what can be checked only after all faults are over. */
    void checkAtEnd() throws InterruptedException;

    /** Returns one line of figures. */
    String summary();
}
