package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.endpoint.EndpointRecord;

/**
 * The properties of a request that routing depends on.
 *
 * <pre>{@code
 * var request = RouteRequest.of(entry, PrefixHashes.of(hashes, 64), 900, 200, zone);
 * Optional<Reservation> reservation = router.route(request.avoiding(Set.of(failed)));
 * }</pre>
 *
 * <p>Outstanding work is counted in output tokens everywhere in this package. A prompt token counts
 * as {@link #PROMPT_TOKEN_WEIGHT} of one.
 *
 * @param targets names of the endpoint groups that can serve the request
 * @param prefix prefix hashes of the prompt, empty for a plain service
 * @param promptTokens length of the prompt in tokens, including the tokens already emitted when a
 *     stream resumes
 * @param expectedTokens expected number of generated tokens, 1 for a plain service
 * @param zone the availability zone of this node
 * @param priority priority class, from 1 (highest) to 4
 * @param avoid endpoints to exclude
 */
public record RouteRequest(
        List<String> targets,
        PrefixHashes prefix,
        int promptTokens,
        int expectedTokens,
        AvailabilityZone zone,
        int priority,
        Set<EndpointId> avoid) {

    /**
     * Cost of a prompt token in output tokens. Prefill processes prompt tokens in parallel, about
     * eight in the time of one output token.
     */
    public static final double PROMPT_TOKEN_WEIGHT = 0.125;

    /** Copies the collections and validates the ranges. */
    public RouteRequest {
        targets = List.copyOf(targets);
        avoid = Set.copyOf(avoid);
        Preconditions.checkArgument(!targets.isEmpty(), "targets must not be empty");
        Preconditions.checkArgument(promptTokens >= 0, "promptTokens must not be negative");
        Preconditions.checkArgument(expectedTokens >= 0, "expectedTokens must not be negative");
    }

    /** Returns a request for {@code entry} that excludes no endpoint. */
    public static RouteRequest of(
            CatalogueEntry entry,
            PrefixHashes prefix,
            int promptTokens,
            int expectedTokens,
            AvailabilityZone zone) {
        return new RouteRequest(
                targetsOf(entry),
                prefix,
                promptTokens,
                expectedTokens,
                zone,
                entry.priority(),
                Set.of());
    }

    /** Returns this request with {@code endpoints} added to the excluded ones. */
    public RouteRequest avoiding(Set<EndpointId> endpoints) {
        Set<EndpointId> all = new TreeSet<>(avoid);
        all.addAll(endpoints);
        return new RouteRequest(targets, prefix, promptTokens, expectedTokens, zone, priority, all);
    }

    /** Returns this request with its targets replaced by {@code admitted}. */
    public RouteRequest within(List<String> admitted) {
        return new RouteRequest(
                admitted, prefix, promptTokens, expectedTokens, zone, priority, avoid);
    }

    /** Returns the cost of a prompt whose first {@code cachedTokens} are cached. */
    public long promptCost(int cachedTokens) {
        return Math.round(Math.max(0, promptTokens - cachedTokens) * PROMPT_TOKEN_WEIGHT);
    }

    /** Returns the names of the endpoint groups that can serve {@code entry}. */
    public static List<String> targetsOf(CatalogueEntry entry) {
        return entry.kind() == EntryKind.SERVICE
                ? List.of("service/" + entry.service())
                : new TreeSet<>(entry.models()).stream().map(m -> "model/" + m).toList();
    }

    /** Returns the names of the groups that the endpoint belongs to. */
    static List<String> targetsOf(EndpointRecord record) {
        if (record.models().isEmpty()) {
            return List.of("service/" + record.service());
        }
        List<String> out = new ArrayList<>(record.models().size());
        for (String model : record.models()) {
            out.add("model/" + model);
        }
        return out;
    }
}
