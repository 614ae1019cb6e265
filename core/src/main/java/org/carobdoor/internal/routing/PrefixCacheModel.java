package org.carobdoor.internal.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * An estimate of the prompt prefixes that each engine has cached. Thread-safe.
 *
 * <p>The estimate is built from the routing decisions of this node and corrected by the cache
 * events of the engines, which arrive late and with gaps. A wrong estimate costs compute time but
 * never affects correctness.
 *
 * <pre>{@code
 * Map<EndpointId, Integer> blocks = cache.match(request.prefix());
 * cache.onEvents(id, events);
 * view.onChange(endpoint -> cache.onState(endpoint));
 * }</pre>
 */
public final class PrefixCacheModel {
    private static final int SHARDS = 8;

    private final PrefixCacheShard[] shards = new PrefixCacheShard[SHARDS];

    private PrefixCacheModel(int blocksPerEndpoint) {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new PrefixCacheShard(blocksPerEndpoint);
        }
    }

    /**
     * Returns an empty model.
     *
     * @param blocksPerEndpoint number of blocks tracked for each endpoint, which bounds the memory
     *     use; at most the number of blocks in the cache of an engine
     */
    public static PrefixCacheModel create(int blocksPerEndpoint) {
        return new PrefixCacheModel(blocksPerEndpoint);
    }

    /**
     * Returns the estimated number of leading blocks of {@code prefix} that each endpoint has
     * cached.
     */
    public Map<EndpointId, Integer> match(PrefixHashes prefix) {
        Map<EndpointId, Integer> blocksByEndpoint = new HashMap<>();
        if (prefix.size() > 0) {
            for (PrefixCacheShard shard : shards) {
                shard.match(prefix, blocksByEndpoint);
            }
        }
        return blocksByEndpoint;
    }

    /** Records that a prompt was routed to {@code id}, which caches it during prefill. */
    public void onRouted(EndpointId id, PrefixHashes prefix) {
        if (prefix.size() > 0) {
            shard(id).store(id, prefix);
        }
    }

    /**
     * Applies events of one engine, in the order of their sequence numbers. Events that were
     * already applied are ignored.
     */
    public void onEvents(EndpointId id, List<CacheChange> changes) {
        shard(id).apply(id, changes);
    }

    /** Discards the blocks of an endpoint that is leaving or gone. */
    public void onState(EndpointSnapshot endpoint) {
        if (endpoint.record().state().compareTo(EndpointState.LEAVING) >= 0) {
            shard(endpoint.id()).removeEndpoint(endpoint.id());
        }
    }

    private PrefixCacheShard shard(EndpointId id) {
        return shards[Math.floorMod(id.value().hashCode(), SHARDS)];
    }
}
