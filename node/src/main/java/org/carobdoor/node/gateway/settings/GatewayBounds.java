package org.carobdoor.node.gateway.settings;

import java.time.Duration;
import org.carobdoor.internal.retries.RetryAllowance;

/**
 * Bounds that the platform sets for the nodes.
 *
 * @param stopGrace the time from the request to stop until the process is killed
 * @param dutyLease for how long a node that holds the duties may act after its last renewal
 * @param usageWindow the length of the windows of the usage reports
 * @param quotaWindow the length of the windows over which quotas are counted
 * @param quotaTolerance the share of a quota that all nodes together may grant on top of it
 * @param reportsUsage whether usage is to be reported
 * @param ordersEndpoints whether endpoints are to be ordered
 * @param retries the retries that all nodes together may send to a service
 */
public record GatewayBounds(
        Duration stopGrace,
        Duration dutyLease,
        Duration usageWindow,
        Duration quotaWindow,
        double quotaTolerance,
        boolean reportsUsage,
        boolean ordersEndpoints,
        RetryAllowance retries) {}
