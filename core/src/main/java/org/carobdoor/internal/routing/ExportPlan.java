package org.carobdoor.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the streams whose KV cache is exported from an endpoint before its announced reclaim.
 *
 * <p>A stream that is expected to end before the reclaim is not exported. Of the others, those with
 * the most tokens are exported first, because each export has a fixed cost, as long as the export
 * finishes before the reclaim. The remaining streams run until the reclaim and resume elsewhere
 * from the tokens emitted by then.
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
     * A running stream at the endpoint.
     *
     * @param id the identifier of the request
     * @param heldTokens prompt tokens and emitted tokens whose KV cache would be exported
     * @param endsAt when the stream is expected to end at this endpoint
     */
    public record Running(String id, int heldTokens, Instant endsAt) {}

    /**
     * Returns the ids of the streams to export, in export order.
     *
     * @param tokensPerSecond the export rate available to this node
     * @param overhead the fixed duration of each export
     */
    public static List<String> exports(
            List<Running> streams,
            Instant now,
            Instant reclaimAt,
            double tokensPerSecond,
            Duration overhead) {
        List<Running> candidates =
                streams.stream()
                        .filter(s -> !s.endsAt().isBefore(reclaimAt))
                        .sorted(
                                Comparator.comparingInt((Running s) -> -s.heldTokens())
                                        .thenComparing(Running::id))
                        .toList();
        List<String> out = new ArrayList<>();
        Instant availableAt = now;
        for (Running s : candidates) {
            long millis = Math.round(1_000.0 * s.heldTokens() / tokensPerSecond);
            Instant done = availableAt.plus(overhead).plusMillis(millis);
            if (!done.isAfter(reclaimAt)) {
                out.add(s.id());
                availableAt = done;
            }
        }
        return out;
    }
}
