package org.carobdoor.node.gateway.control;

/** Keys in the platform's store that the nodes define. */
final class NodeStoreKeys {
    /** Prefix of the keys that the nodes watch. */
    static final String PREFIX = "carobdoor/";

    /** Prefix of the keys under which the runs of nodes are registered, each bound to a lease. */
    static final String NODES_PREFIX = PREFIX + "nodes/";

    /**
     * Prefix of the keys of the links of runs, each bound to the lease of the run; the value is the
     * bandwidth in Mbit/s.
     */
    static final String LINKS_PREFIX = PREFIX + "links/";

    /** Prefix of the keys of quarantined request patterns. */
    static final String QUARANTINE_PREFIX = PREFIX + "quarantine/";

    /** Prefix of the keys of the states of roll-outs, by service. */
    static final String ROLLOUTS_PREFIX = PREFIX + "rollout/";

    /** Key that names the duty holder, bound to its lease. */
    static final String DUTY_HOLDER = PREFIX + "duty";

    /** Key of the usage counts that have been or may have been reported. */
    static final String REPORTED_USAGE = PREFIX + "usage";

    /**
     * Key of the counts of windows that are not reported yet, from which a new duty holder recovers
     * them after all nodes have stopped. Not under {@link #PREFIX}, so that its frequent writes do
     * not trigger the watches of the nodes.
     */
    static final String UNREPORTED_USAGE = "carobdoor-open-usage";

    /**
     * Prefix of the keys of the streams that runs of nodes have started, each bound to a lease. Not
     * under {@link #PREFIX}, as above.
     */
    static final String STREAMS_PREFIX = "carobdoor-streams/";

    private NodeStoreKeys() {}
}
