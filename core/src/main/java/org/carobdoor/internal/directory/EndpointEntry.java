package org.carobdoor.internal.directory;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;

/**
 * What an endpoint says of itself in the platform's store.
 *
 * @param id identifies the endpoint; a restarted one may keep its identifier
 * @param service the service that it belongs to
 * @param address its IP address and port, which the platform may give to another endpoint later
 * @param zone its availability zone
 * @param accepting whether it takes new requests; false once it is leaving
 * @param slots the requests that it runs at once
 * @param warmUpMillis how much longer it stays slow after its start
 * @param bornAtMillis when it started, in milliseconds since the epoch; 0 if it does not say
 * @param orderSequence the number of orders that it has accepted since its start
 * @param reclaimable whether the platform may take it away at short notice
 * @param leavesInMillis how long it still runs, if it is leaving and knows
 */
public record EndpointEntry(
        EndpointId id,
        String service,
        InetSocketAddress address,
        AvailabilityZone zone,
        boolean accepting,
        int slots,
        long warmUpMillis,
        long bornAtMillis,
        long orderSequence,
        boolean reclaimable,
        OptionalLong leavesInMillis) {

    /** Returns this entry as one that takes no new requests. */
    public EndpointEntry withoutAccepting() {
        return new EndpointEntry(
                id,
                service,
                address,
                zone,
                false,
                slots,
                warmUpMillis,
                bornAtMillis,
                orderSequence,
                reclaimable,
                leavesInMillis);
    }

    /** Returns whether {@code later} describes a new start of this endpoint. */
    public boolean isRestartedAs(EndpointEntry later) {
        return bornAtMillis != later.bornAtMillis || later.orderSequence < orderSequence;
    }
}
