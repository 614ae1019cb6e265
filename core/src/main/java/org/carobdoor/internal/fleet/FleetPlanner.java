package org.carobdoor.internal.fleet;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.carobdoor.EndpointId;
import org.carobdoor.Lease;
import org.carobdoor.internal.Preconditions;
import org.jspecify.annotations.Nullable;

/**
 * Orders VMs while this node holds the lease {@code fleet}. Not thread-safe; confined to one driver
 * thread.
 *
 * <p>Every order is stored before it is placed, together with its client token and the state of the
 * order rate limit. A new holder places stored orders again with the same tokens, so the platform
 * starts no VM twice, and the rate stays limited across any number of holders. A holder that was
 * paused past the end of its lease cannot store a new order, because the next holder has changed
 * the version.
 *
 * <pre>{@code
 * planner.onLease(lease, FleetState.decode(read.value()), read.version()).forEach(this::perform);
 * planner.step(vms, offers, need).forEach(this::perform);
 * }</pre>
 */
public final class FleetPlanner {
    private final FleetSettings settings;
    private final InstantSource clock;
    private final BackOff backOff;

    private FleetState state = FleetState.initial();
    private long version;
    private @Nullable Lease lease;
    private FleetAction.@Nullable Save saving;
    private Set<String> savingTokens = Set.of();
    private @Nullable Instant excessSince;

    private FleetPlanner(FleetSettings settings, InstantSource clock, RandomGenerator random) {
        this.settings = settings;
        this.clock = clock;
        this.backOff = new BackOff(settings, random);
    }

    /** Returns a planner that is idle until it is given the lease. */
    public static FleetPlanner create(
            FleetSettings settings, InstantSource clock, RandomGenerator random) {
        return new FleetPlanner(settings, clock, random);
    }

    /**
     * Starts to act under a new lease. The first action stores the fencing token, which locks out
     * earlier holders.
     *
     * @param stored the stored state, read after the lease was obtained
     * @param storedVersion its version, 0 if there is none
     */
    public List<FleetAction> onLease(Lease newLease, FleetState stored, long storedVersion) {
        if (stored.fencing() > newLease.fencing()) {
            onLeaseLost();
            return List.of();
        }
        lease = newLease;
        state = stored;
        version = storedVersion;
        return List.of(save(stored.orders(), stored.orderFrom(), Set.of()));
    }

    /** Updates the expiry of the current lease. */
    public void onLeaseRenewed(Lease renewed) {
        if (lease != null && lease.fencing() == renewed.fencing()) {
            lease = renewed;
        }
    }

    /** Stops all actions until the next lease. */
    public void onLeaseLost() {
        lease = null;
        saving = null;
        excessSince = null;
    }

    /** Returns whether this node holds the lease and may act. */
    public boolean isHolder() {
        return lease != null && clock.instant().isBefore(lease.until());
    }

    /**
     * Returns the next actions, given the listed VMs, the current offers and the required capacity.
     */
    public List<FleetAction> step(
            Collection<FleetVm> vms, Collection<Offer> offers, FleetNeed need) {
        if (!isHolder() || saving != null) {
            return List.of();
        }
        Instant now = clock.instant();
        List<FleetOrder> orders = new ArrayList<>(openOrders(vms, now));
        List<Offer> held = new ArrayList<>();
        vms.stream().filter(FleetVm::counts).forEach(vm -> held.add(vm.offer()));
        orders.forEach(o -> held.add(o.offer()));
        SpreadPlan plan = new SpreadPlan(held);
        Optional<FleetAction> release = release(plan, vms, need, now);
        if (release.isPresent()) {
            return List.of(release.get());
        }
        int allowed = OrderRateLimiter.allowed(state.orderFrom(), now, settings);
        Set<String> place = new HashSet<>();
        for (int i = 0; i < orders.size() && place.size() < allowed; i++) {
            FleetOrder o = orders.get(i);
            if (o.vm().isEmpty() && !o.resendAt().isAfter(now)) {
                orders.set(i, o.resentUntil(now.plus(settings.resendAfter())));
                place.add(o.clientToken());
            }
        }
        List<Offer> available = offers.stream().filter(o -> backOff.allows(o, now)).toList();
        for (Offer offer : plan.additions(need, available, allowed - place.size())) {
            FleetOrder order = newOrder(offer, place.size(), now);
            orders.add(order);
            place.add(order.clientToken());
        }
        if (place.isEmpty()) {
            // Orders whose VMs are listed are removed from storage with the next write.
            state = new FleetState(state.fencing(), state.batch(), state.orderFrom(), orders);
            return List.of();
        }
        Preconditions.checkInvariant(place.size() <= allowed, "order rate exceeded");
        Instant from = OrderRateLimiter.after(state.orderFrom(), now, place.size(), settings);
        return List.of(save(orders, from, place));
    }

    /** Handles the success of the last {@link FleetAction.Save} and returns the orders to place. */
    public List<FleetAction> onSaved(long newVersion) {
        FleetAction.Save done = saving;
        if (done == null) {
            return List.of();
        }
        state = done.state();
        version = newVersion;
        saving = null;
        if (!isHolder()) {
            return List.of();
        }
        List<FleetAction> out = new ArrayList<>();
        for (FleetOrder o : state.orders()) {
            if (savingTokens.contains(o.clientToken())) {
                out.add(new FleetAction.Place(o, state.fencing()));
            }
        }
        return out;
    }

    /** Handles the stored state after a write with an unknown outcome or a conflict. */
    public List<FleetAction> onReloaded(FleetState stored, long storedVersion) {
        FleetAction.Save pending = saving;
        if (pending == null || lease == null) {
            return List.of();
        }
        if (stored.fencing() > lease.fencing()) {
            onLeaseLost();
            return List.of();
        }
        if (stored.fencing() == pending.state().fencing()
                && stored.batch() == pending.state().batch()) {
            return onSaved(storedVersion);
        }
        // The write did not take effect. The same version can be written at most once, so it is
        // safe to continue.
        state =
                new FleetState(
                        lease.fencing(),
                        pending.state().batch(),
                        stored.orderFrom(),
                        stored.orders());
        version = storedVersion;
        saving = null;
        return List.of();
    }

    /** Records that the platform has accepted an order. */
    public void onPlaced(String clientToken, EndpointId vm) {
        replaceOrder(clientToken, o -> Optional.of(o.confirmed(vm)));
    }

    /** Records that the platform has refused an order. */
    public void onRefused(String clientToken) {
        replaceOrder(
                clientToken,
                o -> {
                    backOff.onRefused(o.offer(), clock.instant());
                    return Optional.empty();
                });
    }

    private void replaceOrder(String clientToken, Function<FleetOrder, Optional<FleetOrder>> f) {
        List<FleetOrder> orders = new ArrayList<>();
        for (FleetOrder o : state.orders()) {
            if (o.clientToken().equals(clientToken)) {
                f.apply(o).ifPresent(orders::add);
            } else {
                orders.add(o);
            }
        }
        state = new FleetState(state.fencing(), state.batch(), state.orderFrom(), orders);
    }

    /** Returns the orders that have not expired and whose VMs are not listed yet. */
    private List<FleetOrder> openOrders(Collection<FleetVm> vms, Instant now) {
        Set<EndpointId> listed = new HashSet<>();
        vms.forEach(vm -> listed.add(vm.id()));
        List<FleetOrder> out = new ArrayList<>();
        for (FleetOrder o : state.orders()) {
            if (o.vm().isPresent() && listed.contains(o.vm().get())) {
                backOff.onAccepted(o.offer());
            } else if (o.lostAt().isAfter(now)) {
                out.add(o);
            }
        }
        return out;
    }

    private Optional<FleetAction> release(
            SpreadPlan plan, Collection<FleetVm> vms, FleetNeed need, Instant now) {
        Optional<FleetVm> spare =
                vms.stream()
                        .filter(FleetVm::counts)
                        .sorted(
                                Comparator.comparingDouble((FleetVm vm) -> -vm.offer().unitPrice())
                                        .thenComparing(FleetVm::id))
                        .filter(vm -> plan.canSpare(vm.offer(), need))
                        .findFirst();
        if (spare.isEmpty()) {
            excessSince = null;
            return Optional.empty();
        }
        if (excessSince == null) {
            excessSince = now;
        }
        if (now.isBefore(excessSince.plus(settings.releaseAfter()))) {
            return Optional.empty();
        }
        excessSince = null;
        return Optional.of(new FleetAction.Release(spare.get().id(), state.fencing()));
    }

    private FleetOrder newOrder(Offer offer, int index, Instant now) {
        String token = holder().fencing() + "-" + (state.batch() + 1) + "-" + index;
        return new FleetOrder(
                token,
                offer,
                now.plus(settings.resendAfter()),
                now.plus(settings.startWithin()),
                Optional.empty());
    }

    private FleetAction.Save save(List<FleetOrder> orders, Instant from, Set<String> place) {
        FleetState next = new FleetState(holder().fencing(), state.batch() + 1, from, orders);
        savingTokens = Set.copyOf(place);
        FleetAction.Save action = new FleetAction.Save(next, version);
        saving = action;
        return action;
    }

    private Lease holder() {
        Lease held = lease;
        Preconditions.checkInvariant(held != null, "the planner acted without holding the lease");
        return Objects.requireNonNull(held);
    }
}
