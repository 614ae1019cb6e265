package org.carobdoor.node.gateway.control;

/** The keys that the nodes keep in the platform's store. */
final class OwnKeys {
    /** Begins all keys of the nodes. */
    static final String PREFIX = "carobdoor/";

    /** Begins the keys under which the runs of the nodes are listed, each under a lease. */
    static final String NODES = PREFIX + "nodes/";

    /** Names the node that holds the duties, under its lease. */
    static final String DUTY = PREFIX + "duty";

    /** Holds the usage counts that have been or may have been reported. */
    static final String USAGE = PREFIX + "usage";

    /**
     * Holds the counts of windows that are not reported yet, for a new holder after all nodes have
     * stopped. Not below {@link #PREFIX}, so that no node is woken by its writes.
     */
    static final String OPEN_USAGE = "carobdoor-open-usage";

    private OwnKeys() {}
}
