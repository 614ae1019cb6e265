package org.carobdoor.message;

/**
 * The service times that a node has measured at an endpoint under one degree of load.
 *
 * @param loadBucket the degree of load; 0 is the lowest
 * @param count the number of measured requests
 * @param expectedMillis the sum of the times that the requests would have taken at an unloaded
 *     endpoint of nominal speed, in milliseconds
 * @param measuredMillis the sum of the times that they took, in milliseconds
 */
public record ServiceTimeSum(
        int loadBucket, long count, double expectedMillis, double measuredMillis) {}
