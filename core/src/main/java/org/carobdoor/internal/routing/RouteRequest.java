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
 * What the choice of an endpoint depends on.
 *
 * <pre>{@code
 * var request = RouteRequest.of(entry, PrefixHashes.of(hashes, 64), 900, 200, zone);
 * Optional<Reservation> reservation = router.route(request.avoiding(Set.of(failed)));
 * }</pre>
 *
 * <p>Outstanding work is counted in output tokens everywhere in this package. A prompt token counts
 * as {@link #PROMPT_TOKEN_WEIGHT} of one.
 *
 * @param targets the names under which endpoints are grouped, any of which will do
 * @param prefix hashes of the prompt's prefixes, empty for a plain service
 * @param promptTokens the length of the prompt, with the tokens emitted so far when resuming
 * @param expectedTokens the number of tokens expected to be generated, 1 for a plain service
 * @param zone the availability zone of this node
 * @param priority the class, 1 (matters most) to 4
 * @param avoid endpoints that must not be chosen
 */
public record RouteRequest(
        List<String> targets,
        PrefixHashes prefix,
        int promptTokens,
        int expectedTokens,
        AvailabilityZone zone,
        int priority,
        Set<EndpointId> avoid) {

    /** Prefill processes prompt tokens in parallel, about eight in the time of an output token. */
    public static final double PROMPT_TOKEN_WEIGHT = 0.125;

    /** Copies the collections and checks the ranges. */
    public RouteRequest {
        targets = List.copyOf(targets);
        avoid = Set.copyOf(avoid);
        Preconditions.checkArgument(!targets.isEmpty(), "targets must not be empty");
        Preconditions.checkArgument(promptTokens >= 0, "promptTokens must not be negative");
        Preconditions.checkArgument(expectedTokens >= 0, "expectedTokens must not be negative");
    }

    /** Returns a request for {@code entry} that avoids no endpoint. */
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

    /** Returns this request with {@code endpoints} added to those to avoid. */
    public RouteRequest avoiding(Set<EndpointId> endpoints) {
        Set<EndpointId> all = new TreeSet<>(avoid);
        all.addAll(endpoints);
        return new RouteRequest(targets, prefix, promptTokens, expectedTokens, zone, priority, all);
    }

    /** Returns this request limited to {@code admitted} targets. */
    public RouteRequest within(List<String> admitted) {
        return new RouteRequest(
                admitted, prefix, promptTokens, expectedTokens, zone, priority, avoid);
    }

    /** Returns the cost of a prompt whose first {@code cachedTokens} are in the cache. */
    public long promptCost(int cachedTokens) {
        return Math.round(Math.max(0, promptTokens - cachedTokens) * PROMPT_TOKEN_WEIGHT);
    }

    /** Returns the names of the groups that {@code entry} can be served by. */
    public static List<String> targetsOf(CatalogueEntry entry) {
        return entry.kind() == EntryKind.SERVICE
                ? List.of("service/" + entry.service())
                : new TreeSet<>(entry.models()).stream().map(m -> "model/" + m).toList();
    }

    /** Returns the names of the groups that an endpoint belongs to. */
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
