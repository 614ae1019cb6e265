package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/**
 * Computes since when this node has been the home of a limit: since the last departure of a node
 * with a higher rendezvous weight for the limit, or since its own start. Not thread-safe.
 */
public final class HomeStartTracker {
    /** Retention of departures: the longest window, as an earlier departure makes no difference. */
    private static final Duration RETENTION = Duration.ofDays(1);

    private final NodeId self;
    private final Instant start;
    private final Map<NodeId, Instant> departures = new HashMap<>();

    /** Creates the state of a node that started at {@code start}. */
    public HomeStartTracker(NodeId self, Instant start) {
        this.self = self;
        this.start = start;
    }

    /** Records that {@code node} is no longer among the live nodes. */
    public void onDeparture(NodeId node, Instant now) {
        departures.values().removeIf(at -> at.plus(RETENTION).isBefore(now));
        departures.put(node, now);
    }

    /**
     * Returns since when this node has been the home of {@code limit}, provided that it is the
     * home.
     */
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
