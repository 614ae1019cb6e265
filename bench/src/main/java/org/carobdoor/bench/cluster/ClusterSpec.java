package org.carobdoor.bench.cluster;

/**
 * The size and settings of a {@link LocalCluster}.
 *
 * @param zones the number of availability zones
 * @param nodesPerZone the number of daemons in each zone
 * @param enginesPerZone the number of model engines in each zone
 * @param servicesPerZone the number of plain HTTP services in each zone
 * @param tokenMillis the time that an engine takes to generate one token
 * @param nodeJavaOptions JVM options of the daemons; empty for the launcher's defaults
 */
public record ClusterSpec(
        int zones,
        int nodesPerZone,
        int enginesPerZone,
        int servicesPerZone,
        double tokenMillis,
        String nodeJavaOptions) {

    /** Three zones, each with two daemons, two engines and one service; 5 ms per token. */
    public static ClusterSpec small() {
        return new ClusterSpec(3, 2, 2, 1, 5, "");
    }
}
