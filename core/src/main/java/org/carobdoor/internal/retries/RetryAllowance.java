package org.carobdoor.internal.retries;

/**
 * The retries that all nodes together may send to a service in any window of time.
 *
 * @param perRequest the retries earned by each request of the window
 * @param fixed the retries allowed regardless of the number of requests
 * @param windowNanos the length of the window, in nanoseconds
 */
public record RetryAllowance(double perRequest, double fixed, long windowNanos) {}
