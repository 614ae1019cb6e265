package org.carobdoor.internal.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * One shard of an {@link EndpointView}. All members except {@link #lock} and {@link #generation}
 * are guarded by the lock.
 *
 * <p>Endpoints are linked in the order of their last change, so that a reader copies only those
 * that changed since its last refresh. {@link ViewSnapshot} names the source of this technique.
 */
final class ViewShard {
    final ReentrantLock lock = new ReentrantLock();
    private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();
    private @Nullable TrackedEndpoint newest;

    /**
     * Incremented by each change. Volatile, so that a reader can skip an unchanged shard without
     * locking it.
     */
    volatile long generation;

    /**
     * Generation of the last removal. A reader with a lower generation has missed the removal and
     * must copy the whole shard again.
     */
    long removedGeneration;

    @Nullable TrackedEndpoint find(EndpointId id) {
        return endpoints.get(id);
    }

    TrackedEndpoint add(EndpointRecord record, long halfLifeMillis) {
        TrackedEndpoint endpoint = new TrackedEndpoint(record, halfLifeMillis);
        endpoints.put(record.id(), endpoint);
        touch(endpoint);
        return endpoint;
    }

    /** Moves {@code endpoint} to the head of the list of changes. */
    // The caller holds the lock, so the increment is not a race.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void touch(TrackedEndpoint endpoint) {
        unlink(endpoint);
        endpoint.generation = ++generation;
        endpoint.older = newest;
        if (newest != null) {
            newest.newer = endpoint;
        }
        newest = endpoint;
    }

    /** Returns whether {@code endpoint} was removed while requests at it were still outstanding. */
    boolean isRemoved(TrackedEndpoint endpoint) {
        return endpoints.get(endpoint.record().id()) != endpoint;
    }

    Iterable<TrackedEndpoint> all() {
        return endpoints.values();
    }

    @Nullable TrackedEndpoint newest() {
        return newest;
    }

    /** Removes the endpoints that have been gone since before {@code before}. */
    // The caller holds the lock, so the increment is not a race.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void removeGone(Instant before) {
        var iterator = endpoints.values().iterator();
        while (iterator.hasNext()) {
            TrackedEndpoint endpoint = iterator.next();
            if (endpoint.goneSince != null && endpoint.goneSince.isBefore(before)) {
                iterator.remove();
                unlink(endpoint);
                removedGeneration = ++generation;
            }
        }
    }

    private void unlink(TrackedEndpoint endpoint) {
        if (endpoint.newer != null) {
            endpoint.newer.older = endpoint.older;
        } else if (newest == endpoint) {
            newest = endpoint.older;
        }
        if (endpoint.older != null) {
            endpoint.older.newer = endpoint.newer;
        }
        endpoint.newer = null;
        endpoint.older = null;
    }
}
