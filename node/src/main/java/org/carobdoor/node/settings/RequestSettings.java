package org.carobdoor.node.settings;

import java.time.Duration;

/**
 * Bounds of requests from callers.
 *
 * @param maxBodyBytes the largest body accepted
 * @param timeout after which a request without a timeout of its own is given up
 * @param writeTimeout after which a caller that does not read its answer is cut off
 * @param leavingBound the time after a reclaim notice from which an endpoint gets no new work
 * @param connectTimeout after which connecting to an endpoint is given up
 * @param progressTimeout after which an endpoint that sends nothing is given up
 * @param rememberKeys how long an idempotency key is remembered
 * @param keepAnswers how long the answer of a call that may not be repeated is kept for repeats
 */
public record RequestSettings(
        int maxBodyBytes,
        Duration timeout,
        Duration writeTimeout,
        Duration leavingBound,
        Duration connectTimeout,
        Duration progressTimeout,
        Duration rememberKeys,
        Duration keepAnswers) {}
