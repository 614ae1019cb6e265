package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.standins.http.Json;

/**
 * The announcement that a VM is going to be reclaimed.
 *
 * @param sequence the sequence number of the notice, starting at 1
 * @param vmId the identifier of the VM
 * @param noticedAtMillis when the notice was given, in milliseconds since the epoch
 * @param reclaimAtMillis when the VM is removed, in milliseconds since the epoch
 */
public record ReclaimNotice(
        long sequence, String vmId, long noticedAtMillis, long reclaimAtMillis) {

    ObjectNode toJson() {
        return Json.object()
                .put("sequence", sequence)
                .put("vmId", vmId)
                .put("noticedAtMillis", noticedAtMillis)
                .put("reclaimAtMillis", reclaimAtMillis);
    }
}
