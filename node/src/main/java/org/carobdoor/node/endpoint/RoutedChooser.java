package org.carobdoor.node.endpoint;

import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.PrefixHashes;
import org.carobdoor.internal.routing.Reservation;
import org.carobdoor.internal.routing.RouteRequest;
import org.carobdoor.internal.routing.Router;

/** Selects endpoints with a {@link Router} over this node's endpoint view. */
public final class RoutedChooser implements EndpointChooser {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int BLOCK_TOKENS = 64;

    private final EndpointView view;
    private final Router router;
    private final AvailabilityZone zone;
    private final InstantSource clock;

    /** Creates a chooser for a node in {@code zone}. */
    public RoutedChooser(
            EndpointView view, Router router, AvailabilityZone zone, InstantSource clock) {
        this.clock = clock;
        this.view = view;
        this.router = router;
        this.zone = zone;
    }

    @Override
    public Optional<EndpointUse> choose(
            CatalogueEntry entry, String prompt, long expectedTokens, Set<EndpointId> avoid) {
        PrefixHashes prefix =
                PrefixHashes.ofText(prompt, BLOCK_TOKENS * CHARS_PER_TOKEN, BLOCK_TOKENS);
        int promptTokens = prompt.length() / CHARS_PER_TOKEN;
        int expected = (int) Math.clamp(expectedTokens, 1, Integer.MAX_VALUE);
        RouteRequest request = RouteRequest.of(entry, prefix, promptTokens, expected, zone);
        Optional<Reservation> reservation = router.route(request.avoiding(avoid));
        if (reservation.isEmpty() && !avoid.isEmpty()) {
            // Falls back to endpoints that failed before if there is no other.
            reservation = router.route(request);
        }
        return reservation.map(r -> new RoutedEndpointUse(view, r, modelOf(entry, r), clock));
    }

    private static String modelOf(CatalogueEntry entry, Reservation reservation) {
        if (entry.kind() == EntryKind.SERVICE) {
            return "";
        }
        return entry.models().stream()
                .filter(reservation.record().models()::contains)
                .sorted()
                .findFirst()
                .orElse("");
    }
}
