package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * A private copy of the view for decisions, grouped by what the endpoints serve. Not thread-safe.
 *
 * <p>It is brought up to date by generation number: only cells that changed since the last visit
 * are copied. Source: "Gödel Scheduler Performance Optimization: Algorithm Design Ideas and Data
 * Structure Applications".
 *
 * <pre>{@code
 * view.refresh(snapshot);
 * List<EndpointSnapshot> images = snapshot.serving(List.of("model/llama"));
 * }</pre>
 */
public final class ViewSnapshot {
    private final long[] generations;
    private final DenseList<EndpointId, EndpointSnapshot> live = new DenseList<>();
    private final Map<String, DenseList<EndpointId, EndpointSnapshot>> groups = new HashMap<>();

    ViewSnapshot(int shards) {
        generations = new long[shards];
    }

    long generation(int shard) {
        return generations[shard];
    }

    void setGeneration(int shard, long generation) {
        generations[shard] = generation;
    }

    /** Takes over one endpoint. Only live ones are kept. */
    void update(EndpointSnapshot image) {
        boolean isLive = image.record().state() == EndpointState.LIVE;
        EndpointSnapshot old = live.get(image.id());
        if (old != null
                && (!isLive
                        || !old.record().models().equals(image.record().models())
                        || !old.record().service().equals(image.record().service()))) {
            remove(old);
        }
        if (isLive) {
            live.put(image.id(), image);
            for (String target : RouteRequest.targetsOf(image.record())) {
                groups.computeIfAbsent(target, t -> new DenseList<>()).put(image.id(), image);
            }
        }
    }

    /** Removes the endpoints of one shard, before all of its cells are copied anew. */
    void clear(int shard, EndpointView view) {
        for (int i = live.size() - 1; i >= 0; i--) {
            EndpointSnapshot image = live.at(i);
            if (view.shardOf(image.id()) == shard) {
                remove(image);
            }
        }
        generations[shard] = 0;
    }

    private void remove(EndpointSnapshot image) {
        live.remove(image.id());
        for (String target : RouteRequest.targetsOf(image.record())) {
            DenseList<EndpointId, EndpointSnapshot> group = groups.get(target);
            if (group != null) {
                group.remove(image.id());
                if (group.size() == 0) {
                    groups.remove(target);
                }
            }
        }
    }

    /** Returns the live endpoints that serve at least one of {@code targets}, each once. */
    public List<EndpointSnapshot> serving(List<String> targets) {
        List<EndpointSnapshot> out = new ArrayList<>();
        for (int t = 0; t < targets.size(); t++) {
            DenseList<EndpointId, EndpointSnapshot> group = groups.get(targets.get(t));
            for (int i = 0; group != null && i < group.size(); i++) {
                EndpointSnapshot image = group.at(i);
                if (t == 0 || !isServedByEarlier(targets, t, image.id())) {
                    out.add(image);
                }
            }
        }
        return out;
    }

    private boolean isServedByEarlier(List<String> targets, int before, EndpointId id) {
        for (int t = 0; t < before; t++) {
            DenseList<EndpointId, EndpointSnapshot> group = groups.get(targets.get(t));
            if (group != null && group.get(id) != null) {
                return true;
            }
        }
        return false;
    }

    /** Returns the image of a live endpoint, or null if it is not known or not live. */
    public @Nullable EndpointSnapshot find(EndpointId id) {
        return live.get(id);
    }

    /** Returns the number of live endpoints. */
    public int size() {
        return live.size();
    }
}
