package org.carobdoor.node.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.routing.EndpointSnapshot;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.Refusal;
import org.carobdoor.internal.routing.Reservation;

/** An {@link EndpointUse} backed by a routing {@link Reservation}. */
final class RoutedEndpointUse implements EndpointUse {
    private static final double MILLIS_PER_HOUR = 3_600_000;

    private final EndpointView view;
    private final Reservation reservation;
    private final EndpointRecord endpoint;
    private final String model;
    private final InstantSource clock;
    private final Instant start;

    RoutedEndpointUse(
            EndpointView view, Reservation reservation, String model, InstantSource clock) {
        this.clock = clock;
        this.start = clock.instant();
        this.view = view;
        this.reservation = reservation;
        this.endpoint = reservation.record();
        this.model = model;
    }

    @Override
    public EndpointRecord endpoint() {
        return endpoint;
    }

    @Override
    public String model() {
        return model;
    }

    @Override
    public boolean startSend() {
        return reservation.startSend();
    }

    @Override
    public void onTokens(int count) {
        reservation.onTokens(count);
    }

    @Override
    public void refused() {
        view.onRefusal(endpoint.id(), Refusal.OVERLOADED);
    }

    @Override
    public void failed() {
        view.onRefusal(endpoint.id(), Refusal.UNREACHABLE);
    }

    @Override
    public double cost() {
        double hours = Duration.between(start, clock.instant()).toMillis() / MILLIS_PER_HOUR;
        int sharing = view.find(endpoint.id()).map(EndpointSnapshot::ownRequests).orElse(1);
        return endpoint.pricePerHour() * hours / Math.max(1, sharing);
    }

    @Override
    public void close() {
        reservation.close();
    }
}
