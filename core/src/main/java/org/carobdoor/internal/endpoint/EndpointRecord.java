package org.carobdoor.internal.endpoint;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;

/**
 * The description of an endpoint from the VM list and the reclaim notices of the platform.
 *
 * @param id the platform's identifier of the VM
 * @param zone its availability zone
 * @param address its IP address and port
 * @param service {@code "engine"} for a model engine, or the name of the plain service
 * @param models the models that an engine serves, empty for a plain service
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the platform may reclaim the VM
 * @param pricePerHour the price of the VM in the platform's currency
 * @param checksFencing whether the endpoint rejects orders with an outdated fencing token
 * @param state the lifecycle state
 * @param noticedAt when its reclaim was announced, or empty if it has not been
 * @param reclaimAt when the platform reclaims the VM, or empty if no reclaim was announced
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

    /** Returns this record with the reclaim notice added and the state advanced to leaving. */
    public EndpointRecord leaving(Instant noticedAt, Instant reclaimAt) {
        EndpointState nextState =
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
                nextState,
                Optional.of(noticedAt),
                Optional.of(reclaimAt));
    }
}
