package org.carobdoor.internal.directory;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;

/**
 * The registration of an endpoint in the platform's store.
 *
 * @param id identifies the endpoint; a restarted endpoint may keep its identifier
 * @param service the service that it belongs to
 * @param address its IP address and port, which the platform may reuse for another endpoint later
 * @param zone its availability zone
 * @param accepting whether it accepts new requests; false once it is leaving
 * @param slots the number of requests that it runs concurrently
 * @param warmUpMillis the remaining warm-up time, during which it is slow
 * @param startedAtMillis when it started, in milliseconds since the epoch; 0 if unknown
 * @param orderSequence the number of orders that it has accepted since its start
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param leavesInMillis the time until it stops, if it is leaving and the time is known
 * @param version the version of its software; empty if unknown
 */
public record EndpointEntry(
        EndpointId id,
        String service,
        InetSocketAddress address,
        AvailabilityZone zone,
        boolean accepting,
        int slots,
        long warmUpMillis,
        long startedAtMillis,
        long orderSequence,
        boolean reclaimable,
        OptionalLong leavesInMillis,
        String version) {

    /** Creates an entry whose version is not known. */
    public EndpointEntry(
            EndpointId id,
            String service,
            InetSocketAddress address,
            AvailabilityZone zone,
            boolean accepting,
            int slots,
            long warmUpMillis,
            long startedAtMillis,
            long orderSequence,
            boolean reclaimable,
            OptionalLong leavesInMillis) {
        this(
                id,
                service,
                address,
                zone,
                accepting,
                slots,
                warmUpMillis,
                startedAtMillis,
                orderSequence,
                reclaimable,
                leavesInMillis,
                "");
    }

    /** Returns a copy of this entry that accepts no new requests. */
    public EndpointEntry withoutAccepting() {
        return new EndpointEntry(
                id,
                service,
                address,
                zone,
                false,
                slots,
                warmUpMillis,
                startedAtMillis,
                orderSequence,
                reclaimable,
                leavesInMillis,
                version);
    }

    /** Returns whether {@code later} is the entry of this endpoint after a restart. */
    public boolean isRestartedAs(EndpointEntry later) {
        return startedAtMillis != later.startedAtMillis || later.orderSequence < orderSequence;
    }

    /** Returns whether {@code other} is an entry of the same start of this endpoint. */
    public boolean isSameStartAs(EndpointEntry other) {
        return startedAtMillis != 0 && other.startedAtMillis != 0
                ? startedAtMillis == other.startedAtMillis
                : !isRestartedAs(other);
    }
}
