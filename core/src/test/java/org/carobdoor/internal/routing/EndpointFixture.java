package org.carobdoor.internal.routing;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;

/** Creates endpoint records and requests for tests, and serves as a manual clock. */
final class EndpointFixture implements InstantSource {
    static final Instant START = Instant.parse("2026-12-04T00:00:00Z");
    static final AvailabilityZone ZONE_A = new AvailabilityZone("a");
    static final AvailabilityZone ZONE_B = new AvailabilityZone("b");

    volatile Instant now = START;

    @Override
    public Instant instant() {
        return now;
    }

    void advanceMillis(long millis) {
        now = now.plusMillis(millis);
    }

    EndpointView view(int engines) {
        EndpointView view = EndpointView.create(ViewSettings.defaults(), this);
        for (int i = 0; i < engines; i++) {
            view.apply(engine(i, EndpointState.LIVE));
        }
        return view;
    }

    static EndpointId id(int i) {
        return new EndpointId("vm-" + i);
    }

    static EndpointRecord engine(int i, EndpointState state) {
        return engine(i, state, ZONE_A, 1);
    }

    static EndpointRecord engine(int i, EndpointState state, AvailabilityZone zone, double price) {
        return new EndpointRecord(
                id(i),
                zone,
                InetSocketAddress.createUnresolved("10.0.0." + i, 80),
                "engine",
                Set.of("m"),
                "large",
                true,
                price,
                true,
                state,
                Optional.empty(),
                Optional.empty());
    }

    static RouteRequest request(int promptTokens, long... hashes) {
        return new RouteRequest(
                List.of("model/m"),
                PrefixHashes.of(hashes, 64),
                promptTokens,
                100,
                ZONE_A,
                1,
                Set.of());
    }
}
