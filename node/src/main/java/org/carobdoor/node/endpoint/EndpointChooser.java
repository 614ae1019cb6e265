package org.carobdoor.node.endpoint;

import java.util.Optional;
import java.util.Set;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** Selects endpoints for requests and tracks the requests in flight at each. */
public interface EndpointChooser {

    /**
     * Selects an endpoint.
     *
     * @param entry the catalogue entry of the request
     * @param prompt the text whose prefix may be cached at an endpoint; empty for plain services
     * @param expectedTokens the tokens that the request is expected to generate
     * @param avoid endpoints that failed this request before; selected only if there is no other
     * @return the endpoint, reserved until the result is closed; empty if none is available
     */
    Optional<EndpointUse> choose(
            CatalogueEntry entry, String prompt, long expectedTokens, Set<EndpointId> avoid);
}
