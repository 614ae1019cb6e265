package org.carobdoor.node.endpoint;

import okhttp3.HttpUrl;
import org.carobdoor.internal.endpoint.EndpointRecord;

/** Builds endpoint URLs. Hosts are taken only from the platform's VM list. */
final class EndpointUrls {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String COMPLETIONS_PATH = "/v1/completions";

    private EndpointUrls() {}

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
