package org.carobdoor.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides what becomes of the streams at an endpoint whose reclaim is announced.
 *
 * <p>A stream that ends before the reclaim stays. Of the others, those with the most tokens are
 * exported first, since each export has a fixed cost, as far as time allows. The rest runs until
 * the reclaim and continues elsewhere from the tokens emitted by then.
 *
 * <pre>{@code
 * for (String id : ExportPlan.exports(streams, now, reclaimAt, 10_000, overhead)) {
 *     export(id);
 * }
 * }</pre>
 */
public final class ExportPlan {
    private ExportPlan() {}

    /**
     * A stream at the endpoint.
     *
     * @param id the id of its request
     * @param heldTokens tokens whose KV cache would be exported: prompt and emitted ones
     * @param endsAt when it is expected to end there
     */
    public record Running(String id, int heldTokens, Instant endsAt) {}

    /**
     * Returns the ids of the streams to export, in this order.
     *
     * @param tokensPerSecond what this node may export a second
     * @param overhead the fixed time of an export
     */
    public static List<String> exports(
            List<Running> streams,
            Instant now,
            Instant reclaimAt,
            double tokensPerSecond,
            Duration overhead) {
        List<Running> order =
                streams.stream()
                        .filter(s -> !s.endsAt().isBefore(reclaimAt))
                        .sorted(
                                Comparator.comparingInt((Running s) -> -s.heldTokens())
                                        .thenComparing(Running::id))
                        .toList();
        List<String> out = new ArrayList<>();
        Instant free = now;
        for (Running s : order) {
            long millis = Math.round(1_000.0 * s.heldTokens() / tokensPerSecond);
            Instant done = free.plus(overhead).plusMillis(millis);
            if (!done.isAfter(reclaimAt)) {
                out.add(s.id());
                free = done;
            }
        }
        return out;
    }
}
