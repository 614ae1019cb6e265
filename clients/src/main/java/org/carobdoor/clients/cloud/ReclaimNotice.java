package org.carobdoor.clients.cloud;

import java.time.Instant;

/**
 * An announcement that a VM will be reclaimed.
 *
 * @param sequence the sequence number of the notice
 * @param vmId the platform's identifier of the VM, an endpoint or an entry VM
 * @param noticedAt when the platform issued the notice
 * @param reclaimAt when the platform reclaims the VM
 */
public record ReclaimNotice(long sequence, String vmId, Instant noticedAt, Instant reclaimAt) {}
