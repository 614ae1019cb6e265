package org.carobdoor.node.endpoint;

import java.util.List;
import java.util.Map;
import org.carobdoor.Bytes;

/**
 * A request to a plain service.
 *
 * @param method the HTTP method
 * @param pathAndQuery the path and query, encoded
 * @param headers the headers to forward
 * @param body the body
 */
public record ServiceRequest(
        String method, String pathAndQuery, Map<String, List<String>> headers, Bytes body) {

    /** Copies the headers. */
    public ServiceRequest {
        headers = Map.copyOf(headers);
    }
}
