package org.carobdoor.internal.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;

/**
 * The state that a new lease holder needs from its predecessors, stored at {@code fleet/state}.
 *
 * @param fencing the fencing token of the writer
 * @param batch the sequence number of the write by that writer
 * @param orderFrom the state of the order rate limit, see {@link OrderRateLimiter}
 * @param orders orders whose VMs the platform does not list yet
 */
public record FleetState(long fencing, long batch, Instant orderFrom, List<FleetOrder> orders) {

    /** Copies the list. */
    public FleetState {
        orders = List.copyOf(orders);
    }

    /** Returns the state before any order. */
    public static FleetState initial() {
        return new FleetState(0, 0, Instant.EPOCH, List.of());
    }

    /** Encodes the state: a header line and one line per order, with fields separated by tabs. */
    public Bytes encode() {
        StringBuilder out = new StringBuilder();
        out.append(fencing).append('\t').append(batch).append('\t').append(orderFrom);
        for (FleetOrder o : orders) {
            Offer f = o.offer();
            out.append('\n')
                    .append(
                            String.join(
                                    "\t",
                                    o.clientToken(),
                                    f.zone().value(),
                                    f.machineClass(),
                                    Boolean.toString(f.reclaimable()),
                                    Double.toString(f.pricePerHour()),
                                    Double.toString(f.capacity()),
                                    o.resendAt().toString(),
                                    o.lostAt().toString(),
                                    o.vm().map(EndpointId::value).orElse("-")));
        }
        return Bytes.utf8(out.toString());
    }

    /**
     * Decodes the output of {@link #encode()}.
     *
     * @throws IllegalArgumentException if {@code bytes} cannot be decoded
     */
    public static FleetState decode(Bytes bytes) {
        try {
            List<String> lines = bytes.toUtf8().lines().toList();
            String[] head = lines.getFirst().split("\t", -1);
            List<FleetOrder> orders = new ArrayList<>();
            for (String line : lines.subList(1, lines.size())) {
                orders.add(decodeOrder(line.split("\t", -1)));
            }
            return new FleetState(
                    Long.parseLong(head[0]),
                    Long.parseLong(head[1]),
                    Instant.parse(head[2]),
                    orders);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("cannot decode the fleet state", e);
        }
    }

    private static FleetOrder decodeOrder(String[] f) {
        Offer offer =
                new Offer(
                        new AvailabilityZone(f[1]),
                        f[2],
                        Boolean.parseBoolean(f[3]),
                        Double.parseDouble(f[4]),
                        Double.parseDouble(f[5]));
        return new FleetOrder(
                f[0],
                offer,
                Instant.parse(f[6]),
                Instant.parse(f[7]),
                f[8].equals("-") ? Optional.empty() : Optional.of(new EndpointId(f[8])));
    }
}
