package org.carobdoor.clients.cloud;

import java.util.List;
import org.carobdoor.internal.endpoint.EndpointRecord;

/**
 * The platform's list of VMs. It lags: a VM that is leaving can still be shown as live.
 *
 * @param endpoints the endpoints; one that starts has the wildcard address with port 0
 * @param entries the entry VMs
 */
public record VmList(List<EndpointRecord> endpoints, List<EntryVm> entries) {

    /** Copies the lists. */
    public VmList {
        endpoints = List.copyOf(endpoints);
        entries = List.copyOf(entries);
    }
}
