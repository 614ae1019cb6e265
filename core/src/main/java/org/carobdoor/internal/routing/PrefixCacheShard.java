package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;

/** The estimated caches of a subset of the endpoints, indexed by prefix hash. Thread-safe. */
final class PrefixCacheShard {

    /** The cached blocks of one endpoint in LRU order, least recently used first. */
    private static final class EngineCache {
        final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
        long nextSequence = -1;
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final int capacity;
    private final Map<EndpointId, EngineCache> caches = new HashMap<>();
    private final Map<Long, Set<EndpointId>> endpointsByHash = new HashMap<>();

    PrefixCacheShard(int capacity) {
        this.capacity = capacity;
    }

    void match(PrefixHashes prefix, Map<EndpointId, Integer> blocksByEndpoint) {
        lock.lock();
        try {
            List<EndpointId> matching =
                    new ArrayList<>(endpointsByHash.getOrDefault(prefix.at(0), Set.of()));
            for (int i = 0; i < prefix.size() && !matching.isEmpty(); i++) {
                Set<EndpointId> withBlock = endpointsByHash.getOrDefault(prefix.at(i), Set.of());
                matching.removeIf(id -> !withBlock.contains(id));
                for (EndpointId id : matching) {
                    blocksByEndpoint.put(id, i + 1);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    void store(EndpointId id, PrefixHashes prefix) {
        lock.lock();
        try {
            EngineCache cache = caches.computeIfAbsent(id, k -> new EngineCache());
            // The longest prefix goes first, so that the prefixes shared by many prompts are
            // evicted last.
            for (int i = prefix.size() - 1; i >= 0; i--) {
                put(id, cache, prefix.at(i));
            }
            evictToSize(id, cache, capacity);
        } finally {
            lock.unlock();
        }
    }

    void apply(EndpointId id, List<CacheChange> changes) {
        lock.lock();
        try {
            EngineCache cache = caches.computeIfAbsent(id, k -> new EngineCache());
            for (CacheChange change : changes) {
                if (change.sequence() < cache.nextSequence) {
                    continue;
                }
                if (cache.nextSequence >= 0 && change.sequence() > cache.nextSequence) {
                    // The sequence numbers have a gap, so eviction events may have been lost.
                    // Engines evict the least recently used blocks first, so the older half is
                    // dropped.
                    evictToSize(id, cache, cache.blocks.size() / 2);
                }
                cache.nextSequence = change.sequence() + 1;
                if (change.kind() == CacheChange.Kind.STORED) {
                    put(id, cache, change.hash());
                } else {
                    remove(id, cache, change.hash());
                }
            }
            evictToSize(id, cache, capacity);
        } finally {
            lock.unlock();
        }
    }

    void removeEndpoint(EndpointId id) {
        lock.lock();
        try {
            EngineCache cache = caches.remove(id);
            if (cache != null) {
                cache.blocks.keySet().forEach(hash -> removeFromIndex(id, hash));
            }
        } finally {
            lock.unlock();
        }
    }

    private void put(EndpointId id, EngineCache cache, long hash) {
        if (cache.blocks.put(hash, true) == null) {
            endpointsByHash.computeIfAbsent(hash, h -> new HashSet<>(2)).add(id);
        }
    }

    private void remove(EndpointId id, EngineCache cache, long hash) {
        if (cache.blocks.remove(hash) != null) {
            removeFromIndex(id, hash);
        }
    }

    private void evictToSize(EndpointId id, EngineCache cache, int size) {
        var oldest = cache.blocks.keySet().iterator();
        while (cache.blocks.size() > size) {
            long hash = oldest.next();
            oldest.remove();
            removeFromIndex(id, hash);
        }
    }

    private void removeFromIndex(EndpointId id, long hash) {
        Set<EndpointId> endpoints = endpointsByHash.get(hash);
        if (endpoints != null && endpoints.remove(id) && endpoints.isEmpty()) {
            endpointsByHash.remove(hash);
        }
    }
}
