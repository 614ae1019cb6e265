package org.carobdoor.internal.endpoint;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;

/**
 * An endpoint as the platform's list and notices describe it.
 *
 * @param id the platform's identifier of the VM
 * @param zone its availability zone
 * @param address its IP address and port
 * @param service {@code "engine"} for a model engine, else the name of the plain service
 * @param models the models that an engine serves, empty for a plain service
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the platform may reclaim the VM
 * @param pricePerHour the price of the VM in the platform's currency
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param state where it is in its life
 * @param noticedAt when its reclaim was announced, if it was
 * @param reclaimAt when the platform takes the VM, if announced
 */
public record EndpointRecord(
        EndpointId id,
        AvailabilityZone zone,
        InetSocketAddress address,
        String service,
        Set<String> models,
        String machineClass,
        boolean reclaimable,
        double pricePerHour,
        boolean checksFencing,
        EndpointState state,
        Optional<Instant> noticedAt,
        Optional<Instant> reclaimAt) {

    /** Copies the set of models. */
    public EndpointRecord {
        models = Set.copyOf(models);
    }

    /** Returns this record after its reclaim was announced. */
    public EndpointRecord leaving(Instant noticedAt, Instant reclaimAt) {
        EndpointState next =
                state.compareTo(EndpointState.LEAVING) < 0 ? EndpointState.LEAVING : state;
        return new EndpointRecord(
                id,
                zone,
                address,
                service,
                models,
                machineClass,
                reclaimable,
                pricePerHour,
                checksFencing,
                next,
                Optional.of(noticedAt),
                Optional.of(reclaimAt));
    }
}
