package org.carobdoor.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;

/**
 * Chooses which VMs to add so that the required capacity remains after the loss of the largest
 * availability zone.
 *
 * <p>VMs are added one at a time. Each is the one with the lowest price per unit of capacity
 * outside the largest zone, since only such a VM raises the capacity that remains after the loss of
 * that zone. The algorithm is greedy, so the cost can exceed the minimum by the price of about one
 * VM.
 */
final class SpreadPlan {
    private final Map<AvailabilityZone, Double> byZone = new HashMap<>();
    private double total;
    private double onDemand;

    SpreadPlan(Collection<Offer> held) {
        held.forEach(this::add);
    }

    void add(Offer offer) {
        change(offer, 1);
    }

    private void change(Offer offer, int sign) {
        byZone.merge(offer.zone(), sign * offer.capacity(), Double::sum);
        total += sign * offer.capacity();
        onDemand += offer.reclaimable() ? 0 : sign * offer.capacity();
    }

    /** Returns the total capacity of the VMs. */
    double total() {
        return total;
    }

    /** Returns the capacity that remains after the loss of the largest zone. */
    double capacityAfterZoneLoss() {
        return total - byZone.values().stream().mapToDouble(x -> x).max().orElse(0);
    }

    boolean meets(FleetNeed need) {
        // Tolerates rounding errors of sums.
        return capacityAfterZoneLoss() >= need.capacity() - 1e-6
                && onDemand >= need.onDemandCapacity() - 1e-6;
    }

    /** Returns whether the requirement is still met without {@code offer}, which must be held. */
    boolean canSpare(Offer offer, FleetNeed need) {
        change(offer, -1);
        boolean spare = meets(need);
        change(offer, 1);
        return spare;
    }

    /**
     * Returns the offers to order, at most {@code limit}. The requirement may remain unmet if
     * {@code available} does not suffice.
     */
    List<Offer> additions(FleetNeed need, Collection<Offer> available, int limit) {
        List<Offer> out = new ArrayList<>();
        while (out.size() < limit && !meets(need)) {
            Optional<Offer> next = next(need, available);
            if (next.isEmpty()) {
                break;
            }
            add(next.get());
            out.add(next.get());
        }
        return out;
    }

    private Optional<Offer> next(FleetNeed need, Collection<Offer> available) {
        boolean mustBeOnDemand = onDemand < need.onDemandCapacity() - 1e-6;
        double largest = byZone.values().stream().mapToDouble(x -> x).max().orElse(0);
        Comparator<Offer> order =
                Comparator.comparing((Offer o) -> capacityIn(o.zone()) >= largest && largest > 0)
                        .thenComparingDouble(Offer::unitPrice)
                        .thenComparingDouble(o -> capacityIn(o.zone()))
                        .thenComparing(Offer::zone)
                        .thenComparing(Offer::machineClass);
        Optional<Offer> best =
                available.stream().filter(o -> !mustBeOnDemand || !o.reclaimable()).min(order);
        best = best.map(o -> mustBeOnDemand ? o : cheaperPair(o, available, largest));
        boolean isPair = byZone.values().stream().filter(x -> x >= largest - 1e-6).count() > 1;
        boolean isOutsideLargest = best.isPresent() && capacityIn(best.get().zone()) < largest;
        // If all zones are equal, a VM in any zone makes the next one effective. If only the
        // largest zone is on offer, more capacity there would not survive its loss, and is added
        // only if it is needed now.
        boolean isEven = byZone.values().stream().allMatch(x -> x >= largest - 1e-6);
        boolean isNeededNow = mustBeOnDemand || total < need.capacity();
        return isOutsideLargest || isNeededNow || ((isEven || isPair) && zoneCount(available) > 1)
                ? best
                : Optional.empty();
    }

    /**
     * If two zones share the largest size, one VM in each raises the remaining capacity as much as
     * one VM elsewhere does. Returns the first of such a pair if both together cost less than
     * {@code elsewhere}.
     */
    private Offer cheaperPair(Offer elsewhere, Collection<Offer> available, double largest) {
        Map<AvailabilityZone, Offer> cheapest = new TreeMap<>();
        for (Offer o : available) {
            if (largest > 0 && capacityIn(o.zone()) >= largest - 1e-6) {
                cheapest.merge(o.zone(), o, (a, b) -> a.unitPrice() <= b.unitPrice() ? a : b);
            }
        }
        List<Offer> byPrice =
                cheapest.values().stream()
                        .sorted(Comparator.comparingDouble(Offer::unitPrice))
                        .toList();
        boolean isCheaper =
                byPrice.size() > 1
                        && byPrice.get(0).unitPrice() + byPrice.get(1).unitPrice()
                                < elsewhere.unitPrice();
        return isCheaper ? byPrice.getFirst() : elsewhere;
    }

    private double capacityIn(AvailabilityZone zone) {
        return byZone.getOrDefault(zone, 0.0);
    }

    private static long zoneCount(Collection<Offer> offers) {
        return offers.stream().map(Offer::zone).distinct().count();
    }
}
