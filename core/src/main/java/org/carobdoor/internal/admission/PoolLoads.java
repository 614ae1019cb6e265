package org.carobdoor.internal.admission;

/** Provides the current load of a target. */
@FunctionalInterface
public interface PoolLoads {

    /** Returns the load of the endpoints that serve {@code target}. */
    PoolLoad of(String target);
}
