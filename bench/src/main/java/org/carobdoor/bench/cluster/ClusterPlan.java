package org.carobdoor.bench.cluster;

/**
 * What a {@link LocalCluster} consists of.
 *
 * @param zones the number of availability zones
 * @param nodesPerZone daemons in each zone
 * @param enginesPerZone model engines in each zone
 * @param servicesPerZone plain services in each zone
 * @param tokenMillis the time of one token at an engine
 * @param nodeJavaOptions options of the daemons' Java, empty for those of the launcher
 */
public record ClusterPlan(
        int zones,
        int nodesPerZone,
        int enginesPerZone,
        int servicesPerZone,
        double tokenMillis,
        String nodeJavaOptions) {

    /** Three zones with two daemons, two engines and one plain service each, 5 ms a token. */
    public static ClusterPlan small() {
        return new ClusterPlan(3, 2, 2, 1, 5, "");
    }
}
