package org.carobdoor.internal.burn;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.jspecify.annotations.Nullable;

/** The counters of one entry. Thread-safe. */
final class EntryCounter {
    private final ReentrantLock lock = new ReentrantLock();
    private final BucketRing buckets = new BucketRing();
    private final Map<MissCause, Long> causes = new EnumMap<>(MissCause.class);
    private EntryObjective objective;
    private RequestCounts all = RequestCounts.ZERO;
    private double cost;
    private long recomputedTokens;

    EntryCounter(EntryObjective objective) {
        this.objective = objective;
    }

    void add(
            EntryObjective current,
            @Nullable MissCause missedFor,
            double requestCost,
            long recomputed,
            long nowMillis) {
        lock.lock();
        try {
            objective = current;
            buckets.add(nowMillis, missedFor == null);
            all = all.plus(new RequestCounts(missedFor == null ? 1 : 0, 1));
            if (missedFor != null) {
                causes.merge(missedFor, 1L, Long::sum);
            }
            cost += requestCost;
            recomputedTokens += recomputed;
        } finally {
            lock.unlock();
        }
    }

    EntryBurn report(String name, long nowMillis) {
        lock.lock();
        try {
            Map<Window, RequestCounts> windows = new EnumMap<>(Window.class);
            for (Window w : Window.values()) {
                windows.put(w, buckets.sum(nowMillis, w.length()));
            }
            Map<MissCause, Long> c = new EnumMap<>(MissCause.class);
            for (MissCause x : MissCause.values()) {
                c.put(x, causes.getOrDefault(x, 0L));
            }
            return new EntryBurn(name, objective, all, windows, c, cost, recomputedTokens);
        } finally {
            lock.unlock();
        }
    }
}
