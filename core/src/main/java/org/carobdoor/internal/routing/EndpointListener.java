package org.carobdoor.internal.routing;

/** Is told of changes of state of endpoints. */
@FunctionalInterface
public interface EndpointListener {

    /** Called without any lock held after the state of an endpoint has changed. */
    void onChange(EndpointSnapshot image);
}
