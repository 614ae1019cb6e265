package org.carobdoor.internal.capacity;

import java.util.HashMap;
import java.util.Map;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.ServiceTimeSum;

/**
 * The last totals received from one process of a node, from which the new requests are computed.
 *
 * <p>Not thread-safe.
 */
final class SenderEvidence {
    /**
     * Maximum requests that one report may add to a bucket. First totals with more requests than
     * this are mostly old.
     */
    private static final double MAX_NEW_REQUESTS = 20;

    /** Receives new requests. */
    interface Receiver {
        void accept(int bucket, double count, double expectedMillis, double measuredMillis);
    }

    private record Previous(long startedAtMillis, ServiceTimeSum[] sums) {}

    private final Map<String, Previous> byEndpoint = new HashMap<>();

    /** Passes the requests that are new since the last totals of the endpoint. */
    void apply(EndpointEvidence evidence, Receiver receiver) {
        Previous previous = byEndpoint.get(evidence.endpoint());
        if (previous == null || previous.startedAtMillis != evidence.startedAtMillis()) {
            previous =
                    new Previous(evidence.startedAtMillis(), new ServiceTimeSum[LoadBuckets.COUNT]);
            byEndpoint.put(evidence.endpoint(), previous);
        }
        for (ServiceTimeSum s : evidence.sums()) {
            if (!ServiceTimeModel.isValid(
                    s.loadBucket(), s.count(), s.expectedMillis(), s.measuredMillis())) {
                continue;
            }
            ServiceTimeSum last = previous.sums[s.loadBucket()];
            if (last != null && s.count() <= last.count()) {
                continue;
            }
            previous.sums[s.loadBucket()] = s;
            double count = s.count() - (last == null ? 0 : last.count());
            if (last == null && count > MAX_NEW_REQUESTS) {
                continue;
            }
            double kept = Math.min(1, MAX_NEW_REQUESTS / count);
            receiver.accept(
                    s.loadBucket(),
                    count * kept,
                    kept * (s.expectedMillis() - (last == null ? 0 : last.expectedMillis())),
                    kept * (s.measuredMillis() - (last == null ? 0 : last.measuredMillis())));
        }
    }

    void remove(String endpoint) {
        byEndpoint.remove(endpoint);
    }
}
