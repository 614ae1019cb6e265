package org.carobdoor.node.execution;

import org.carobdoor.ClientAccount;
import org.carobdoor.node.endpoint.ServiceRequest;

/**
 * A submitted call of a plain service.
 *
 * @param entry the name of the catalogue entry
 * @param account the client account of the caller
 * @param key the idempotency key; empty for a call that may be repeated
 * @param request what to send
 */
public record ServiceWork(
        String entry, ClientAccount account, String key, ServiceRequest request) {}
