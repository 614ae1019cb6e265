package org.carobdoor.bench.experiment;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.Lease;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.fleet.FleetAction;
import org.carobdoor.internal.fleet.FleetNeed;
import org.carobdoor.internal.fleet.FleetPlanner;
import org.carobdoor.internal.fleet.FleetSettings;
import org.carobdoor.internal.fleet.FleetState;
import org.carobdoor.internal.fleet.FleetVm;
import org.carobdoor.internal.fleet.Offer;

/**
 * A simulated platform with VM prices per zone and machine class, reclaims and refused starts. The
 * production {@link FleetPlanner} orders and releases the VMs.
 */
final class FakePlatform {
    private static final double VM_START_MILLIS = 60_000;

    /** How long a zone refuses to start reclaimable VMs after a reclaim wave in this zone. */
    private static final double START_REFUSAL_MILLIS = 300_000;

    /** A VM and the engine that runs on it. */
    static final class Vm {
        final EndpointId id;
        final Offer offer;
        final FakeEngine engine;
        EndpointState state = EndpointState.STARTING;
        Optional<Instant> noticedAt = Optional.empty();
        Optional<Instant> reclaimAt = Optional.empty();

        Vm(EndpointId id, Offer offer, FakeEngine engine) {
            this.id = id;
            this.offer = offer;
            this.engine = engine;
        }

        EndpointRecord record() {
            return new EndpointRecord(
                    id,
                    offer.zone(),
                    InetSocketAddress.createUnresolved("10.0.0.1", 80),
                    "engine",
                    Set.of("m"),
                    offer.machineClass(),
                    offer.reclaimable(),
                    offer.pricePerHour(),
                    true,
                    state,
                    noticedAt,
                    reclaimAt);
        }
    }

    private final EventScheduler scheduler;
    private final SplittableRandom random;
    private final Scenario scenario;
    private final EngineModel model;
    private final FleetPlanner planner;
    private final Map<EndpointId, Vm> vms = new LinkedHashMap<>();
    private final Map<AvailabilityZone, Double> startsRefusedUntil = new LinkedHashMap<>();
    private List<FleetVm> lastListed = List.of();
    private long version;
    double cost;
    long orders;
    private boolean isMetered;

    FakePlatform(
            EventScheduler scheduler,
            SplittableRandom random,
            Scenario scenario,
            EngineModel model) {
        this.scheduler = scheduler;
        this.random = random;
        this.scenario = scenario;
        this.model = model;
        this.planner = FleetPlanner.create(FleetSettings.defaults(), scheduler, random.split());
        Lease lease = new Lease("fleet", "one", 1, scheduler.instant().plusSeconds(1_000_000));
        perform(planner.onLease(lease, FleetState.initial(), 0));
        scheduler.scheduleRepeating(1_000, this::tick);
        scheduler.scheduleRepeating(5_000, this::refreshList);
    }

    /** Large VMs have a capacity of 100; small VMs have half the speed at 55% of the price. */
    static List<Offer> offers() {
        List<Offer> out = new ArrayList<>();
        String[] zones = {"a", "b", "c"};
        double[] reclaimable = {0.9, 1.0, 1.2};
        double[] onDemand = {3.0, 3.1, 3.3};
        for (int z = 0; z < zones.length; z++) {
            var zone = new AvailabilityZone(zones[z]);
            out.add(new Offer(zone, "large", true, reclaimable[z], 100));
            out.add(new Offer(zone, "small", true, reclaimable[z] * 0.55, 50));
            out.add(new Offer(zone, "large", false, onDemand[z], 100));
            out.add(new Offer(zone, "small", false, onDemand[z] * 0.55, 50));
        }
        return out;
    }

    void startMetering() {
        isMetered = true;
    }

    Iterable<Vm> vms() {
        return vms.values();
    }

    Vm vm(EndpointId id) {
        return Objects.requireNonNull(vms.get(id));
    }

    private void tick() {
        for (Vm vm : vms.values()) {
            if (isMetered && vm.state != EndpointState.GONE) {
                cost += vm.offer.pricePerHour() / 3_600;
            }
        }
        List<Offer> offers = offers().stream().filter(scenario.offers()).toList();
        FleetNeed need = scenario.need();
        perform(planner.step(lastListed, offers, need));
    }

    private void refreshList() {
        lastListed = vms.values().stream().map(v -> new FleetVm(v.id, v.offer, v.state)).toList();
    }

    private void perform(List<FleetAction> actions) {
        for (FleetAction action : actions) {
            switch (action) {
                case FleetAction.Save save -> perform(planner.onSaved(++version));
                case FleetAction.Release release -> reclaim(vm(release.vm()), 60_000);
                case FleetAction.Place place -> place(place);
            }
        }
    }

    private void place(FleetAction.Place place) {
        orders++;
        Offer offer = place.order().offer();
        boolean isRefused =
                offer.reclaimable()
                        && scheduler.nowMillis()
                                < startsRefusedUntil.getOrDefault(offer.zone(), -1.0);
        if (isRefused) {
            planner.onRefused(place.order().clientToken());
            return;
        }
        double speed = offer.machineClass().equals("large") ? 1 : 0.5;
        EndpointId id = new EndpointId("vm-" + vms.size());
        Vm vm = new Vm(id, offer, new FakeEngine(scheduler, model, speed));
        vms.put(id, vm);
        planner.onPlaced(place.order().clientToken(), id);
        scheduler.schedule(
                VM_START_MILLIS,
                () -> {
                    if (vm.state == EndpointState.STARTING) {
                        vm.state = EndpointState.LIVE;
                    }
                });
    }

    void startReclaimWave(Scenario.ReclaimWave wave) {
        for (Vm vm : List.copyOf(vms.values())) {
            boolean isAffected =
                    vm.offer.reclaimable()
                            && vm.state.compareTo(EndpointState.LEAVING) < 0
                            && (wave.zone().isEmpty()
                                    || vm.offer.zone().value().equals(wave.zone()));
            // Draws a number for every VM, so that compared runs use the same random sequence.
            if (random.nextDouble() < wave.share() && isAffected) {
                reclaim(vm, scenario.noticeSeconds() * 1_000);
            }
        }
        if (!wave.zone().isEmpty()) {
            startsRefusedUntil.put(
                    new AvailabilityZone(wave.zone()),
                    scheduler.nowMillis() + START_REFUSAL_MILLIS);
        }
    }

    private void reclaim(Vm vm, double noticeMillis) {
        if (vm.noticedAt.isPresent()) {
            return;
        }
        vm.noticedAt = Optional.of(scheduler.instant());
        vm.reclaimAt = Optional.of(scheduler.instant().plusMillis((long) noticeMillis));
        vm.state = EndpointState.LEAVING;
        scheduler.schedule(
                noticeMillis,
                () -> {
                    vm.state = EndpointState.GONE;
                    vm.engine.kill();
                });
    }
}
