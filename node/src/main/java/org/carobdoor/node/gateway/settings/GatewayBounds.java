package org.carobdoor.node.gateway.settings;

import java.time.Duration;
import java.util.Optional;
import org.carobdoor.internal.retries.RetryAllowance;
import org.carobdoor.internal.rollout.RolloutBounds;

/**
 * Time limits, quota parameters and duties that the platform prescribes for the nodes.
 *
 * @param stopGrace the time from the stop signal until the process is killed
 * @param dutyLease how long the duty holder may act after the last renewal of its lease
 * @param usageWindow the length of the windows of the usage reports
 * @param quotaWindow the length of the windows over which quotas are counted
 * @param quotaTolerance the fraction of a quota by which all nodes together may exceed it
 * @param quotaExcess the units by which all nodes together may exceed a quota besides
 * @param staleLimit the time after which a node whose connections have gone silent must be up to
 *     date with the store again
 * @param endpointHeartbeat the interval at which endpoints renew their entries in the store
 * @param reportsUsage whether the duty holder reports usage
 * @param scalesEndpoints whether the duty holder scales the endpoints
 * @param retries the retries that all nodes together may send to a service
 * @param rollouts the limits of roll-outs of versions; empty if versions are not rolled out
 */
public record GatewayBounds(
        Duration stopGrace,
        Duration dutyLease,
        Duration usageWindow,
        Duration quotaWindow,
        double quotaTolerance,
        double quotaExcess,
        Duration staleLimit,
        Duration endpointHeartbeat,
        boolean reportsUsage,
        boolean scalesEndpoints,
        RetryAllowance retries,
        Optional<RolloutBounds> rollouts) {}
