package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.admission.PoolLoad;
import org.carobdoor.internal.admission.PoolLoads;

/** Computes the load of each target from an {@link EndpointView}. Thread-safe. */
public final class ViewLoads implements PoolLoads {
    private final ReentrantLock lock = new ReentrantLock();
    private final EndpointView view;
    private final InstantSource clock;
    private final ViewSnapshot snapshot;

    private ViewLoads(EndpointView view, InstantSource clock) {
        this.view = view;
        this.clock = clock;
        this.snapshot = view.newSnapshot();
    }

    /** Returns the pool loads of {@code view}. */
    public static ViewLoads create(EndpointView view, InstantSource clock) {
        return new ViewLoads(view, clock);
    }

    @Override
    public PoolLoad of(String target) {
        lock.lock();
        try {
            view.refresh(snapshot);
            long now = clock.millis();
            double tokens = 0;
            int routable = 0;
            for (EndpointSnapshot endpoint : snapshot.serving(List.of(target))) {
                if (endpoint.isRoutable(now) && view.isZoneReachable(endpoint.record().zone())) {
                    tokens += endpoint.load(now);
                    routable++;
                }
            }
            return new PoolLoad(tokens, routable);
        } finally {
            lock.unlock();
        }
    }
}
