package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/**
 * Tells since when this node has been the home of a limit: since the last departure of a node that
 * ranks above it for the limit, or since its own start. Not safe for use by several threads at
 * once.
 */
public final class HomeTenure {
    /** The longest window; an earlier departure makes no difference. */
    private static final Duration KEPT = Duration.ofDays(1);

    private final NodeId self;
    private final Instant start;
    private final Map<NodeId, Instant> departures = new HashMap<>();

    /** Creates the tenure of a node that started at {@code start}. */
    public HomeTenure(NodeId self, Instant start) {
        this.self = self;
        this.start = start;
    }

    /** Notes that {@code node} is no longer among the live nodes. */
    public void onDeparture(NodeId node, Instant now) {
        departures.values().removeIf(at -> at.plus(KEPT).isBefore(now));
        departures.put(node, now);
    }

    /** Returns since when this node, if it is the home of {@code limit}, has been the home. */
    public Instant since(String limit) {
        long own = Rendezvous.weight(limit, self.value());
        return departures.entrySet().stream()
                .filter(
                        departure ->
                                Long.compareUnsigned(
                                                Rendezvous.weight(
                                                        limit, departure.getKey().value()),
                                                own)
                                        > 0)
                .map(Map.Entry::getValue)
                .filter(at -> at.isAfter(start))
                .max(Instant::compareTo)
                .orElse(start);
    }
}
