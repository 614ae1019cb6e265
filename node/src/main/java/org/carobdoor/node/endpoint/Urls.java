package org.carobdoor.node.endpoint;

import okhttp3.HttpUrl;
import org.carobdoor.internal.endpoint.EndpointRecord;

/** Builds URLs of endpoints. Hosts come only from the platform's list. */
final class Urls {
    static final String CHAT = "/v1/chat/completions";
    static final String COMPLETIONS = "/v1/completions";

    private Urls() {}

    /** Returns the URL of {@code pathAndQuery} at {@code endpoint}. */
    static HttpUrl of(EndpointRecord endpoint, String pathAndQuery) {
        HttpUrl base =
                new HttpUrl.Builder()
                        .scheme("http")
                        .host(endpoint.address().getAddress().getHostAddress())
                        .port(endpoint.address().getPort())
                        .build();
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        HttpUrl.Builder url = base.newBuilder().encodedPath(path);
        if (query >= 0) {
            url.encodedQuery(pathAndQuery.substring(query + 1));
        }
        return url.build();
    }
}
