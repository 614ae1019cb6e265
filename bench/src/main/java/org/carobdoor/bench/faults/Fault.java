package org.carobdoor.bench.faults;

/** A fault that {@link FaultInjector} injects and repairs. */
sealed interface Fault {

    /** Returns the duration of the fault, or the notice of a reclaim, in milliseconds. */
    long millis();

    /**
     * Returns whether the fault makes nodes unavailable; only one such fault is active at a time.
     */
    default boolean makesNodesUnavailable() {
        return this instanceof KillNode
                || this instanceof PauseNode
                || this instanceof StopNode
                || this instanceof ReclaimNode
                || this instanceof ReclaimZone
                || this instanceof KillZone;
    }

    /** Kills a daemon and later starts a new one. */
    record KillNode(String node, long millis) implements Fault {}

    /** Suspends the process of a daemon (SIGSTOP) and later resumes it (SIGCONT). */
    record PauseNode(String node, long millis) implements Fault {}

    /** Stops a daemon gracefully (SIGTERM) and starts a new one. */
    record StopNode(String node, long millis) implements Fault {}

    /**
     * Announces the reclaim of a daemon's VM, kills the daemon after the notice and starts a new
     * one.
     */
    record ReclaimNode(String node, long millis) implements Fault {}

    /**
     * Announces the reclaim of all daemons' VMs of a zone, kills the first daemon during its
     * handover and the others after the notice, and starts new ones.
     */
    record ReclaimZone(String zone, long millis) implements Fault {}

    /** Kills all daemons of an availability zone and later starts new ones. */
    record KillZone(String zone, long millis) implements Fault {}

    /** Makes the key-value service unavailable. */
    record PlatformDown(long millis) implements Fault {}

    /** Delays the responses of the key-value service. */
    record PlatformSlow(long millis, long delayMillis) implements Fault {}

    /** Drops the responses to the next writes to the key-value service. */
    record LoseAnswers(long millis, int count) implements Fault {}

    /**
     * Announces the reclaim of an engine, kills the engine after the notice and starts a new one.
     */
    record ReclaimEngine(String engine, long millis) implements Fault {}

    /** Kills an engine without notice and later starts a new one. */
    record KillEngine(String engine, long millis) implements Fault {}

    /** Makes an engine accept connections but send nothing. */
    record SilentEngine(String engine, long millis) implements Fault {}

    /**
     * Drops the responses to the next calls of a plain HTTP service, after the calls took effect.
     */
    record LoseServiceAnswers(String service, long millis, int count) implements Fault {}
}
