package org.carobdoor.bench.faults;

/** One fault of a run. */
sealed interface Fault {

    /** Returns the length of the fault, in milliseconds. */
    long millis();

    /** Returns whether the fault takes nodes away; only one such fault is active at a time. */
    default boolean takesNodes() {
        return this instanceof KillNode
                || this instanceof PauseNode
                || this instanceof StopNode
                || this instanceof ReclaimNode
                || this instanceof ReclaimZone
                || this instanceof KillZone;
    }

    /** Kills a daemon and starts a new one afterwards. */
    record KillNode(String node, long millis) implements Fault {}

    /** Stops a daemon's process from running (SIGSTOP) and lets it run again. */
    record PauseNode(String node, long millis) implements Fault {}

    /** Stops a daemon gracefully and starts a new one. */
    record StopNode(String node, long millis) implements Fault {}

    /** Announces the reclaim of a daemon's VM, kills it at its end, and starts a new one. */
    record ReclaimNode(String node, long millis) implements Fault {}

    /**
     * Announces the reclaim of all daemons' VMs of a zone, kills half of them partway through their
     * handover and the others at the end, and starts new ones.
     */
    record ReclaimZone(String zone, long millis) implements Fault {}

    /** Kills all daemons of an availability zone and starts new ones afterwards. */
    record KillZone(String zone, long millis) implements Fault {}

    /** Takes the key-value service down. */
    record PlatformDown(long millis) implements Fault {}

    /** Makes the key-value service slow. */
    record PlatformSlow(long millis, long delayMillis) implements Fault {}

    /** Loses the answers of the next writes of the key-value service. */
    record LoseAnswers(long millis, int count) implements Fault {}

    /** Announces the reclaim of an engine, kills it at its end, and starts a new one. */
    record ReclaimEngine(String engine, long millis) implements Fault {}

    /** Kills an engine without notice and starts a new one. */
    record KillEngine(String engine, long millis) implements Fault {}

    /** Lets an engine accept connections and send nothing. */
    record SilentEngine(String engine, long millis) implements Fault {}

    /** Loses the answers of the next calls of a plain service, after they took effect. */
    record LoseServiceAnswers(String service, long millis, int count) implements Fault {}
}
