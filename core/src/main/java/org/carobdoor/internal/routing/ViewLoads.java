package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.admission.PoolLoad;
import org.carobdoor.internal.admission.PoolLoads;

/** Sums the load of targets over an {@link EndpointView}. Thread-safe. */
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

    /** Returns the loads of {@code view}. */
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
            int endpoints = 0;
            for (EndpointSnapshot image : snapshot.serving(List.of(target))) {
                if (image.isRoutable(now) && view.isZoneReachable(image.record().zone())) {
                    tokens += image.load(now);
                    endpoints++;
                }
            }
            return new PoolLoad(tokens, endpoints);
        } finally {
            lock.unlock();
        }
    }
}
