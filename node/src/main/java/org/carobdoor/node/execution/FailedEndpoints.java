package org.carobdoor.node.execution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;

/** Records the last endpoint at which each request failed, so that the next attempt avoids it. */
final class FailedEndpoints {
    /** Bounds the memory; an evicted request may be retried at the endpoint at which it failed. */
    private static final int MAX_TRACKED_REQUESTS = 4096;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, EndpointId> endpointsByRequest =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, EndpointId> eldest) {
                    return size() > MAX_TRACKED_REQUESTS;
                }
            };

    void record(String requestId, EndpointId endpoint) {
        lock.lock();
        try {
            endpointsByRequest.put(requestId, endpoint);
        } finally {
            lock.unlock();
        }
    }

    Set<EndpointId> excludedFor(String requestId) {
        lock.lock();
        try {
            EndpointId endpoint = endpointsByRequest.get(requestId);
            return endpoint == null ? Set.of() : Set.of(endpoint);
        } finally {
            lock.unlock();
        }
    }
}
