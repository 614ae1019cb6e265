package org.carobdoor.node.endpoint;

import java.util.List;
import java.util.Map;
import org.carobdoor.Bytes;

/**
 * The complete response of a plain service.
 *
 * @param status the HTTP status
 * @param headers the headers to forward
 * @param body the body
 */
public record ServiceAnswer(int status, Map<String, List<String>> headers, Bytes body) {

    /** Copies the headers. */
    public ServiceAnswer {
        headers = Map.copyOf(headers);
    }

    /** Returns the media type of the body, empty if the response has no Content-Type header. */
    public String contentType() {
        return headers.entrySet().stream()
                .filter(e -> e.getKey().equalsIgnoreCase("content-type"))
                .flatMap(e -> e.getValue().stream())
                .findFirst()
                .orElse("");
    }
}
