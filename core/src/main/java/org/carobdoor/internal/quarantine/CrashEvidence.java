package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.RequestFeature;

/** The crashes that one feature is suspected of. */
final class CrashEvidence {
    /**
     * Crashes within this time of each other count once: endpoints that end together have a cause
     * in common, such as a rack or a zone, and a single request ends one endpoint.
     */
    static final long SIMULTANEOUS_NANOS = 20_000_000L;

    /** Evidence is forgotten after this time. */
    static final long RETENTION_NANOS = 600_000_000_000L;

    /**
     * Reports of one endpoint within this time, by either clock, are of the same crash. The cluster
     * clocks of the nodes differ by up to a quarter of a second, and an endpoint takes longer to
     * restart.
     */
    private static final long SAME_CRASH_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_CRASHES = 8;
    private static final int MAX_REQUESTS_PER_CRASH = 8;

    private static final class Crash {
        final CrashId id;
        final long receivedNanos;
        final Set<RequestFeature> requests = new HashSet<>();
        private boolean cleared;

        Crash(CrashId id, long receivedNanos) {
            this.id = id;
            this.receivedNanos = receivedNanos;
        }

        void clear() {
            cleared = true;
            requests.clear();
        }

        boolean isSameByClusterTime(CrashId other) {
            return id.endpoint().equals(other.endpoint())
                    && Math.abs(id.atMillis() - other.atMillis()) < SAME_CRASH_MILLIS;
        }

        boolean isSame(CrashId other, long otherReceivedNanos) {
            long apartNanos = Math.abs(receivedNanos - otherReceivedNanos);
            return isSameByClusterTime(other)
                    || (id.endpoint().equals(other.endpoint())
                            && apartNanos < SAME_CRASH_MILLIS * NANOS_PER_MILLI);
        }
    }

    private final List<Crash> crashes = new ArrayList<>();

    /**
     * Records that the feature is suspected of a crash.
     *
     * @param request the own feature of the request that had the feature
     */
    void record(CrashId id, RequestFeature request, long nowNanos) {
        crashes.removeIf(c -> nowNanos - c.receivedNanos > RETENTION_NANOS);
        Crash crash = null;
        for (Crash c : crashes) {
            if (c.isSame(id, nowNanos)) {
                crash = c;
            }
        }
        if (crash == null) {
            if (crashes.size() >= MAX_CRASHES) {
                crashes.removeFirst();
            }
            crash = new Crash(id, nowNanos);
            crashes.add(crash);
        }
        if (!crash.cleared && crash.requests.size() < MAX_REQUESTS_PER_CRASH) {
            crash.requests.add(request);
        }
    }

    /** Returns the number of crashes that are not cleared; simultaneous ones count once. */
    int crashCount(long nowNanos) {
        int count = 0;
        long countedNanos = 0;
        for (Crash c : crashes) {
            boolean counts = !c.cleared && nowNanos - c.receivedNanos <= RETENTION_NANOS;
            if (counts && (count == 0 || c.receivedNanos - countedNanos >= SIMULTANEOUS_NANOS)) {
                count++;
                countedNanos = c.receivedNanos;
            }
        }
        return count;
    }

    /** Returns the requests with the feature that may have caused the crashes not cleared. */
    Set<RequestFeature> requests() {
        Set<RequestFeature> requests = new HashSet<>();
        crashes.stream().filter(c -> !c.cleared).forEach(c -> requests.addAll(c.requests));
        return requests;
    }

    /** Clears the crashes known before {@code nanos}, and returns those that were not cleared. */
    List<CrashId> clearBefore(long nanos) {
        List<CrashId> cleared = new ArrayList<>();
        for (Crash c : crashes) {
            if (!c.cleared && c.receivedNanos - nanos < 0) {
                c.clear();
                cleared.add(c.id);
            }
        }
        return cleared;
    }

    /**
     * Clears a crash. A crash that is not known yet is remembered as cleared, since messages can
     * overtake each other.
     */
    void clear(CrashId id, long nowNanos) {
        boolean known = false;
        for (Crash c : crashes) {
            if (c.isSameByClusterTime(id)) {
                c.clear();
                known = true;
            }
        }
        if (!known && crashes.size() < MAX_CRASHES) {
            Crash crash = new Crash(id, nowNanos);
            crash.clear();
            crashes.add(crash);
        }
    }
}
