package org.carobdoor.node.endpoint;

import java.util.Optional;
import java.util.Set;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/** Chooses endpoints for requests and counts what is in flight at each. */
public interface EndpointChooser {

    /**
     * Chooses an endpoint.
     *
     * @param entry the catalogue entry of the request
     * @param prompt the text whose prefix may be cached at an endpoint; empty for plain services
     * @param expectedTokens the tokens that the request is expected to generate
     * @param avoid endpoints that failed this request before; used only if there is no other
     * @return the endpoint, in use until the result is closed; empty if there is none
     */
    Optional<EndpointUse> choose(
            CatalogueEntry entry, String prompt, long expectedTokens, Set<EndpointId> avoid);
}
