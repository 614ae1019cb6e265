package org.carobdoor.node.execution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;

/** The endpoint that last failed each request, so that the next attempt goes elsewhere. */
final class FailedEndpoints {
    /** Requests remembered; an older one may go back to the endpoint that failed it. */
    private static final int MAX_REQUESTS = 4096;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, EndpointId> failed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, EndpointId> eldest) {
                    return size() > MAX_REQUESTS;
                }
            };

    void add(String requestId, EndpointId endpoint) {
        lock.lock();
        try {
            failed.put(requestId, endpoint);
        } finally {
            lock.unlock();
        }
    }

    Set<EndpointId> of(String requestId) {
        lock.lock();
        try {
            EndpointId endpoint = failed.get(requestId);
            return endpoint == null ? Set.of() : Set.of(endpoint);
        } finally {
            lock.unlock();
        }
    }
}
