package org.carobdoor.internal.admission;

import java.time.Instant;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** The measured capacity of the endpoints of one target. Thread-safe. */
final class TargetCapacity {
    private final ReentrantLock lock = new ReentrantLock();
    private final AdmissionSettings settings;
    private double capacity;
    private int samples;
    private double allowedMisses;
    private int misses;
    private double highestLoad;
    private Instant adjustAt;

    TargetCapacity(AdmissionSettings settings, Instant now) {
        this.settings = settings;
        this.capacity = settings.initialTokens();
        this.adjustAt = now.plus(settings.adjustEvery());
    }

    boolean admits(int priority, PoolLoads loads, String target) {
        lock.lock();
        try {
            // The load is read under the lock, so that decisions use loads in the order in which
            // they are read.
            double load = loads.of(target).perEndpoint();
            highestLoad = Math.max(highestLoad, Double.isInfinite(load) ? 0 : load);
            boolean admitted = isWithinShare(priority, load);
            if (!admitted) {
                for (int lower = priority + 1; lower <= CatalogueEntry.LOWEST_PRIORITY; lower++) {
                    Preconditions.checkInvariant(
                            !isWithinShare(lower, load),
                            "a lower class would be admitted while a higher one is shed");
                }
            }
            return admitted;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Ignores the size of the request, since otherwise a small request of a lower class could be
     * admitted while a larger one of a higher class is shed.
     */
    private boolean isWithinShare(int priority, double load) {
        return load <= capacity * settings.shares().get(priority - 1);
    }

    void onServed(boolean objectiveMet, double targetPercent, Instant now) {
        lock.lock();
        try {
            samples++;
            misses += objectiveMet ? 0 : 1;
            allowedMisses += 1 - targetPercent / 100;
            if (!now.isBefore(adjustAt) && samples >= settings.minSamples()) {
                adjust();
                adjustAt = now.plus(settings.adjustEvery());
            }
        } finally {
            lock.unlock();
        }
    }

    private void adjust() {
        if (misses > allowedMisses) {
            // Capacity that was not in use is no evidence, so the decrease starts from the highest
            // load.
            double usedCapacity = highestLoad > 0 ? Math.min(capacity, highestLoad) : capacity;
            capacity = Math.max(settings.minTokens(), usedCapacity * settings.decrease());
        } else if (highestLoad > 0.7 * capacity) {
            capacity *= settings.increase();
        }
        samples = 0;
        misses = 0;
        allowedMisses = 0;
        highestLoad = 0;
    }

    double capacity() {
        lock.lock();
        try {
            return capacity;
        } finally {
            lock.unlock();
        }
    }
}
