package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * A private copy of the live endpoints of an {@link EndpointView}, grouped by target. Not
 * thread-safe.
 *
 * <p>A refresh compares generation numbers and copies only the endpoints that changed since the
 * previous refresh. Source: "Gödel Scheduler Performance Optimization: Algorithm Design Ideas and
 * Data Structure Applications".
 *
 * <pre>{@code
 * view.refresh(snapshot);
 * List<EndpointSnapshot> endpoints = snapshot.serving(List.of("model/llama"));
 * }</pre>
 */
public final class ViewSnapshot {
    private final long[] generations;
    private final DenseList<EndpointId, EndpointSnapshot> liveEndpoints = new DenseList<>();
    private final Map<String, DenseList<EndpointId, EndpointSnapshot>> endpointsByTarget =
            new HashMap<>();

    ViewSnapshot(int shards) {
        generations = new long[shards];
    }

    long generation(int shard) {
        return generations[shard];
    }

    void setGeneration(int shard, long generation) {
        generations[shard] = generation;
    }

    /** Adds or replaces one endpoint, or removes it if it is not live. */
    void update(EndpointSnapshot endpoint) {
        boolean isLive = endpoint.record().state() == EndpointState.LIVE;
        EndpointSnapshot old = liveEndpoints.get(endpoint.id());
        if (old != null
                && (!isLive
                        || !old.record().models().equals(endpoint.record().models())
                        || !old.record().service().equals(endpoint.record().service()))) {
            remove(old);
        }
        if (isLive) {
            liveEndpoints.put(endpoint.id(), endpoint);
            for (String target : RouteRequest.targetsOf(endpoint.record())) {
                endpointsByTarget
                        .computeIfAbsent(target, t -> new DenseList<>())
                        .put(endpoint.id(), endpoint);
            }
        }
    }

    /** Removes the endpoints of one shard, so that the refresh copies the whole shard. */
    void clear(int shard, EndpointView view) {
        for (int i = liveEndpoints.size() - 1; i >= 0; i--) {
            EndpointSnapshot endpoint = liveEndpoints.at(i);
            if (view.shardOf(endpoint.id()) == shard) {
                remove(endpoint);
            }
        }
        generations[shard] = 0;
    }

    private void remove(EndpointSnapshot endpoint) {
        liveEndpoints.remove(endpoint.id());
        for (String target : RouteRequest.targetsOf(endpoint.record())) {
            DenseList<EndpointId, EndpointSnapshot> group = endpointsByTarget.get(target);
            if (group != null) {
                group.remove(endpoint.id());
                if (group.size() == 0) {
                    endpointsByTarget.remove(target);
                }
            }
        }
    }

    /**
     * Returns the live endpoints that serve at least one of {@code targets}, without duplicates.
     */
    public List<EndpointSnapshot> serving(List<String> targets) {
        List<EndpointSnapshot> out = new ArrayList<>();
        for (int t = 0; t < targets.size(); t++) {
            DenseList<EndpointId, EndpointSnapshot> group = endpointsByTarget.get(targets.get(t));
            for (int i = 0; group != null && i < group.size(); i++) {
                EndpointSnapshot endpoint = group.at(i);
                if (t == 0 || !isServedByEarlier(targets, t, endpoint.id())) {
                    out.add(endpoint);
                }
            }
        }
        return out;
    }

    private boolean isServedByEarlier(List<String> targets, int before, EndpointId id) {
        for (int t = 0; t < before; t++) {
            DenseList<EndpointId, EndpointSnapshot> group = endpointsByTarget.get(targets.get(t));
            if (group != null && group.get(id) != null) {
                return true;
            }
        }
        return false;
    }

    /** Returns a live endpoint, or null if it is unknown or not live. */
    public @Nullable EndpointSnapshot find(EndpointId id) {
        return liveEndpoints.get(id);
    }

    /** Returns the number of live endpoints. */
    public int size() {
        return liveEndpoints.size();
    }
}
