package org.carobdoor.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * A cloud API whose list of VMs is stale, and that refuses orders, loses answers and reclaims VMs.
 */
final class FakeCloud {
    static final List<Offer> OFFERS =
            List.of(
                    offer("a", true, 1),
                    offer("b", true, 1.1),
                    offer("c", true, 1.3),
                    offer("a", false, 3),
                    offer("b", false, 3),
                    offer("c", false, 3));

    private final SplittableRandom random;
    private final Map<String, EndpointId> byToken = new HashMap<>();
    private final Map<EndpointId, FleetVm> vms = new HashMap<>();
    private List<FleetVm> listed = List.of();
    final List<Long> newTokensAt = new ArrayList<>();
    private final Map<String, Integer> seenTokens = new HashMap<>();
    double refusalProbability;
    double answerLossProbability;

    FakeCloud(SplittableRandom random) {
        this.random = random;
    }

    static Offer offer(String zone, boolean reclaimable, double price) {
        return new Offer(new AvailabilityZone(zone), "large", reclaimable, price, 100);
    }

    void place(FleetAction.Place place, FleetPlanner planner, long nowMillis) {
        String token = place.order().clientToken();
        if (seenTokens.merge(token, 1, Integer::sum) == 1) {
            newTokensAt.add(nowMillis);
        }
        boolean isRefused =
                !byToken.containsKey(token)
                        && place.order().offer().reclaimable()
                        && random.nextDouble() < refusalProbability;
        if (!isRefused) {
            EndpointId id =
                    byToken.computeIfAbsent(token, t -> new EndpointId("vm-" + byToken.size()));
            vms.putIfAbsent(id, new FleetVm(id, place.order().offer(), EndpointState.LIVE));
        }
        if (random.nextDouble() >= answerLossProbability) {
            if (isRefused) {
                planner.onRefused(token);
            } else {
                planner.onPlaced(token, Objects.requireNonNull(byToken.get(token)));
            }
        }
    }

    void release(EndpointId id) {
        setState(id, EndpointState.GONE);
    }

    void reclaim(Optional<AvailabilityZone> zone, double share) {
        for (FleetVm vm : List.copyOf(vms.values())) {
            if (vm.offer().reclaimable()
                    && (zone.isEmpty() || vm.offer().zone().equals(zone.get()))
                    && random.nextDouble() < share) {
                setState(vm.id(), EndpointState.GONE);
            }
        }
    }

    private void setState(EndpointId id, EndpointState state) {
        vms.computeIfPresent(id, (k, vm) -> new FleetVm(id, vm.offer(), state));
    }

    void refreshList() {
        listed = List.copyOf(vms.values());
    }

    List<FleetVm> listed() {
        return listed;
    }

    SpreadPlan live() {
        return new SpreadPlan(
                vms.values().stream().filter(FleetVm::counts).map(FleetVm::offer).toList());
    }

    int started() {
        return vms.size();
    }

    int tokens() {
        return seenTokens.size();
    }
}
