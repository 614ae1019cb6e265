package org.carobdoor.internal.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * A guess of which prompt prefixes each engine has cached. Thread-safe.
 *
 * <p>It is built from this node's own routing, and corrected by the engines' cache events, which
 * come late and with gaps. A wrong guess costs computing time and never correctness.
 *
 * <pre>{@code
 * Map<EndpointId, Integer> blocks = cache.match(request.prefix());
 * cache.onEvents(id, events);
 * view.onChange(image -> cache.onState(image));
 * }</pre>
 */
public final class PrefixCacheModel {
    private static final int SHARDS = 8;

    private final PrefixShard[] shards = new PrefixShard[SHARDS];

    private PrefixCacheModel(int blocksPerEndpoint) {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new PrefixShard(blocksPerEndpoint);
        }
    }

    /**
     * Returns an empty model.
     *
     * @param blocksPerEndpoint blocks remembered for each endpoint, which bounds the memory; at
     *     most the number of blocks that an engine's cache holds
     */
    public static PrefixCacheModel create(int blocksPerEndpoint) {
        return new PrefixCacheModel(blocksPerEndpoint);
    }

    /** Returns how many leading blocks of {@code prefix} each endpoint is thought to have. */
    public Map<EndpointId, Integer> match(PrefixHashes prefix) {
        Map<EndpointId, Integer> out = new HashMap<>();
        if (prefix.size() > 0) {
            for (PrefixShard shard : shards) {
                shard.match(prefix, out);
            }
        }
        return out;
    }

    /** Notes that a prompt is about to be computed at {@code id}, after which it is cached. */
    public void onRouted(EndpointId id, PrefixHashes prefix) {
        if (prefix.size() > 0) {
            shard(id).store(id, prefix);
        }
    }

    /**
     * Applies events of one engine, in the order of their numbers. Events seen before are ignored.
     */
    public void onEvents(EndpointId id, List<CacheChange> changes) {
        shard(id).apply(id, changes);
    }

    /** Forgets an endpoint that has left. */
    public void onState(EndpointSnapshot image) {
        if (image.record().state().compareTo(EndpointState.LEAVING) >= 0) {
            shard(image.id()).forget(image.id());
        }
    }

    private PrefixShard shard(EndpointId id) {
        return shards[Math.floorMod(id.value().hashCode(), SHARDS)];
    }
}
