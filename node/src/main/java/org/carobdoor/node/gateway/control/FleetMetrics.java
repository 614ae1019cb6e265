package org.carobdoor.node.gateway.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.fleet.EngineFleetPolicy.ZoneCount;
import org.carobdoor.internal.fleet.FleetDemand;

/** What the last plan of each service was based on, as metrics. Must be used on the event loop. */
final class FleetMetrics {
    private record Plan(
            Map<AvailabilityZone, ZoneCount> zones,
            Optional<FleetDemand.Engines> needed,
            double workMillisPerSecond) {}

    private final Map<String, Plan> plans = new TreeMap<>();

    /** Replaces the values of {@code service}. */
    void update(
            String service,
            Map<AvailabilityZone, ZoneCount> zones,
            Optional<FleetDemand.Engines> needed,
            double workMillisPerSecond) {
        plans.put(service, new Plan(zones, needed, workMillisPerSecond));
    }

    /** Appends the values in the Prometheus text format. */
    void appendTo(StringBuilder out) {
        out.append("# TYPE carobdoor_gateway_fleet_engines gauge\n");
        plans.forEach(
                (service, plan) ->
                        plan.zones()
                                .forEach(
                                        (zone, z) -> {
                                            String at = service + "\",zone=\"" + zone.value();
                                            engines(out, at, "on_demand", z.onDemand());
                                            engines(out, at, "reclaimable", z.reclaimable());
                                            engines(out, at, "unreachable", z.unreachable());
                                        }));
        out.append("# TYPE carobdoor_gateway_fleet_needed_engines gauge\n");
        plans.forEach(
                (service, plan) ->
                        plan.needed()
                                .ifPresent(
                                        n -> {
                                            needed(out, service, "peak", n.peak());
                                            needed(out, service, "now", n.now());
                                        }));
        out.append("# TYPE carobdoor_gateway_fleet_work_ms_per_second gauge\n");
        plans.forEach(
                (service, plan) ->
                        out.append("carobdoor_gateway_fleet_work_ms_per_second{service=\"")
                                .append(service)
                                .append("\"} ")
                                .append(Math.round(plan.workMillisPerSecond()))
                                .append('\n'));
    }

    private static void engines(StringBuilder out, String at, String kind, int count) {
        out.append("carobdoor_gateway_fleet_engines{service=\"")
                .append(at)
                .append("\",kind=\"")
                .append(kind)
                .append("\"} ")
                .append(count)
                .append('\n');
    }

    private static void needed(StringBuilder out, String service, String load, int count) {
        out.append("carobdoor_gateway_fleet_needed_engines{service=\"")
                .append(service)
                .append("\",load=\"")
                .append(load)
                .append("\"} ")
                .append(count)
                .append('\n');
    }
}
