package org.carobdoor.internal.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.ServiceTimeSum;

/**
 * The service times measured by this node since its start, and which of them to send next. A status
 * has a few endpoints only, so that its size does not grow with their number. Those whose news have
 * waited longest come first, so that an endpoint with few requests is not left out.
 *
 * <p>Not thread-safe.
 */
final class EvidenceTotals {
    private static final int MAX_ENDPOINTS_PER_STATUS = 6;

    private static final class Totals {
        private final long startedAtMillis;
        private final long[] counts = new long[LoadBuckets.COUNT];
        private final long[] sentCounts = new long[LoadBuckets.COUNT];
        private final double[] expected = new double[LoadBuckets.COUNT];
        private final double[] measured = new double[LoadBuckets.COUNT];

        Totals(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }
    }

    private final Map<String, Totals> byEndpoint = new HashMap<>();
    private final Set<String> unsent = new LinkedHashSet<>();

    /** Starts the totals of an endpoint anew. */
    void start(String endpoint, long startedAtMillis) {
        byEndpoint.put(endpoint, new Totals(startedAtMillis));
        unsent.remove(endpoint);
    }

    void remove(String endpoint) {
        byEndpoint.remove(endpoint);
        unsent.remove(endpoint);
    }

    void add(String endpoint, int bucket, double expectedMillis, double measuredMillis) {
        Totals t = byEndpoint.get(endpoint);
        if (t != null) {
            t.counts[bucket]++;
            t.expected[bucket] += expectedMillis;
            t.measured[bucket] += measuredMillis;
            unsent.add(endpoint);
        }
    }

    /** Returns the totals to send in the next status, rounded to milliseconds. */
    List<EndpointEvidence> next() {
        List<EndpointEvidence> evidence = new ArrayList<>();
        Iterator<String> ids = unsent.iterator();
        while (ids.hasNext() && evidence.size() < MAX_ENDPOINTS_PER_STATUS) {
            String id = ids.next();
            ids.remove();
            Totals t = byEndpoint.get(id);
            if (t != null) {
                evidence.add(new EndpointEvidence(id, t.startedAtMillis, changedSums(t)));
            }
        }
        return evidence;
    }

    private static List<ServiceTimeSum> changedSums(Totals t) {
        List<ServiceTimeSum> sums = new ArrayList<>();
        for (int b = 0; b < LoadBuckets.COUNT; b++) {
            if (t.counts[b] != t.sentCounts[b]) {
                t.sentCounts[b] = t.counts[b];
                sums.add(
                        new ServiceTimeSum(
                                b,
                                t.counts[b],
                                Math.max(1, Math.rint(t.expected[b])),
                                Math.max(1, Math.rint(t.measured[b]))));
            }
        }
        return sums;
    }
}
