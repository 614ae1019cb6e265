package org.carobdoor.clients.cloud;

import java.util.List;
import org.carobdoor.internal.endpoint.EndpointRecord;

/**
 * The platform's list of VMs. It can be outdated: a VM that is leaving may still be listed as live.
 *
 * @param endpoints the endpoints; a starting one has the wildcard address with port 0
 * @param entries the entry VMs
 */
public record VmList(List<EndpointRecord> endpoints, List<EntryVm> entries) {

    /** Creates a list with copies of the arguments. */
    public VmList {
        endpoints = List.copyOf(endpoints);
        entries = List.copyOf(entries);
    }
}
