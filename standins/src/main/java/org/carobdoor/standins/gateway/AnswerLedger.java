package org.carobdoor.standins.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Records the requests that reached the endpoints of one service, and the first response of the
 * endpoint to each, which is the one that callers may get. Thread-safe.
 */
public final class AnswerLedger {

    /**
     * A request that reached an endpoint.
     *
     * @param requestId the request's id, which several arrivals have if the request was retried
     * @param endpoint the id of the endpoint
     * @param number the number of the request on its connection, from 1
     * @param behavior how the endpoint responded
     * @param arrivedNanos when the request arrived, in {@link System#nanoTime}
     * @param status the status of the endpoint's first response
     * @param stamp the signature of that response, which no other arrival has
     * @param body the body of that response
     * @param leaving whether that response says that the endpoint is leaving
     */
    public record Arrival(
            String requestId,
            String endpoint,
            int number,
            EndpointBehavior behavior,
            long arrivedNanos,
            int status,
            String stamp,
            String body,
            boolean leaving) {}

    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Arrival> byStamp = new ConcurrentHashMap<>();
    private final List<Long> repeats = new ArrayList<>();

    /** Adds a request. */
    public void add(Arrival arrival) {
        byStamp.put(arrival.stamp(), arrival);
        arrivals.merge(
                arrival.requestId(),
                List.of(arrival),
                (old, added) -> {
                    recordRepeat(arrival.arrivedNanos());
                    List<Arrival> all = new ArrayList<>(old);
                    all.addAll(added);
                    return List.copyOf(all);
                });
    }

    private synchronized void recordRepeat(long nanos) {
        repeats.add(nanos);
    }

    /** Returns the arrivals of a request, in their order. */
    public List<Arrival> arrivals(String requestId) {
        return arrivals.getOrDefault(requestId, List.of());
    }

    /** Returns the arrival whose response has a signature. */
    public @Nullable Arrival findByStamp(String stamp) {
        return byStamp.get(stamp);
    }

    /** Returns the number of arrivals. */
    public int size() {
        return byStamp.size();
    }

    /** Returns when requests arrived that had arrived before, in {@link System#nanoTime}. */
    public synchronized List<Long> repeats() {
        return List.copyOf(repeats);
    }
}
