package org.carobdoor.internal.placement;

import java.util.Collection;

/**
 * Estimates the present load of endpoints from old news: that of this node is known, that of the
 * other nodes has moved towards the mean of all endpoints since they reported it. A long queue is
 * still there after a time in which a few running requests have ended.
 */
final class EstimatedLoad {
    private final double newsAgeMillis;
    private final double requestMillis;
    private final double meanRunning;
    private final double meanUnreadTokens;

    /**
     * Creates an estimate.
     *
     * @param endpoints the endpoints of the service
     * @param newsAgeMillis the usual age of the load that other nodes have reported
     * @param requestMillis how long a request usually runs
     */
    EstimatedLoad(Collection<EndpointLoad> endpoints, double newsAgeMillis, double requestMillis) {
        double running = 0;
        double unreadTokens = 0;
        for (EndpointLoad e : endpoints) {
            running += e.totalRunning() - e.running();
            unreadTokens += e.totalUnreadTokens() - e.unreadTokens();
        }
        meanRunning = running / Math.max(1, endpoints.size());
        meanUnreadTokens = unreadTokens / Math.max(1, endpoints.size());
        this.newsAgeMillis = Math.max(0, newsAgeMillis);
        this.requestMillis = requestMillis;
    }

    /** Returns the requests of all nodes at the endpoint. */
    double running(EndpointLoad e) {
        double remote = e.totalRunning() - e.running();
        double load = remote / Math.max(1, e.entry().slots());
        double trust = trust(requestMillis * Math.max(1, e.capacity().timeFactor(load)));
        double estimate = trust * remote + (1 - trust) * meanRunning;
        return Math.max(0, e.running() + estimate);
    }

    /**
     * Returns the prompt tokens of all nodes that the endpoint has not yet prefilled.
     *
     * @param prefillMillis how long the endpoint takes to prefill those that other nodes reported
     */
    double unreadTokens(EndpointLoad e, double prefillMillis) {
        double remote = e.totalUnreadTokens() - e.unreadTokens();
        double trust = trust(prefillMillis);
        double estimate = trust * remote + (1 - trust) * meanUnreadTokens;
        return Math.max(0, e.unreadTokens() + estimate);
    }

    /** Returns how much reported work that lasts this long counts against the mean, 0 to 1. */
    private double trust(double lastsMillis) {
        return lastsMillis / (lastsMillis + newsAgeMillis);
    }
}
