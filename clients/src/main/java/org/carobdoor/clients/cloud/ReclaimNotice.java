package org.carobdoor.clients.cloud;

import java.time.Instant;

/**
 * The announcement that a VM is going to be reclaimed.
 *
 * @param sequence the number of the notice
 * @param vmId the platform's identifier of the VM, an endpoint or an entry VM
 * @param noticedAt when the platform gave the notice
 * @param reclaimAt when the platform takes the VM
 */
public record ReclaimNotice(long sequence, String vmId, Instant noticedAt, Instant reclaimAt) {}
