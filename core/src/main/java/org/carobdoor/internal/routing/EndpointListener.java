package org.carobdoor.internal.routing;

/** Receives state changes of endpoints. */
@FunctionalInterface
public interface EndpointListener {

    /** Called after the state of an endpoint has changed. The caller holds no lock. */
    void onChange(EndpointSnapshot endpoint);
}
