package org.carobdoor.node.settings;

import java.time.Duration;

/**
 * Limits and timeouts of requests from callers.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param timeout the maximum timeout of a request, which is also the default
 * @param writeTimeout the time after which a caller that does not read its answer is disconnected
 * @param leavingBound the time after a reclaim notice from which an endpoint gets no new requests
 * @param connectTimeout the timeout for connecting to an endpoint
 * @param progressTimeout the read timeout of an endpoint: the maximum time without data from it
 * @param keyRetention the retention time of idempotency keys
 * @param answerRetention the retention time of answers of non-repeatable calls, for replay
 */
public record RequestSettings(
        int maxBodyBytes,
        Duration timeout,
        Duration writeTimeout,
        Duration leavingBound,
        Duration connectTimeout,
        Duration progressTimeout,
        Duration keyRetention,
        Duration answerRetention) {}
