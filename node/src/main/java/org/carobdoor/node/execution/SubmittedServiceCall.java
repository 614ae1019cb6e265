package org.carobdoor.node.execution;

import org.carobdoor.ClientAccount;
import org.carobdoor.node.endpoint.ServiceRequest;

/**
 * A call to a plain service that was submitted for asynchronous execution.
 *
 * @param entry the name of the catalogue entry
 * @param account the client account of the caller
 * @param key the idempotency key; empty for a repeatable call
 * @param request the request to send
 */
public record SubmittedServiceCall(
        String entry, ClientAccount account, String key, ServiceRequest request) {}
