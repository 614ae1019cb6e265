package org.carobdoor.node.endpoint;

import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.Refusal;
import org.carobdoor.internal.routing.Reservation;

/** A use of an endpoint that holds a reservation of the routing view. */
final class RoutedUse implements EndpointUse {
    private final EndpointView view;
    private final Reservation reservation;
    private final EndpointRecord endpoint;
    private final String model;

    RoutedUse(EndpointView view, Reservation reservation, String model) {
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
    public void close() {
        reservation.close();
    }
}
