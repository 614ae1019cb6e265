package org.carobdoor.node.endpoint;

import java.util.Locale;
import java.util.Set;

/** Selects the HTTP headers that are forwarded between caller and endpoint. */
public final class ForwardedHeaders {
    /**
     * Headers that apply to one connection (RFC 9110, section 7.6.1) or are set by the next sender.
     */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private ForwardedHeaders() {}

    /** Returns whether the header {@code name} of a request is forwarded to the endpoint. */
    public static boolean inRequest(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        // The API key is only valid for this system; the account name is sent instead. Without
        // Accept-Encoding the response body arrives unencoded.
        return !HOP_BY_HOP.contains(lower)
                && !lower.equals("authorization")
                && !lower.equals("accept-encoding")
                && !lower.equals("x-client-account");
    }

    /** Returns whether the header {@code name} of a response is forwarded to the caller. */
    public static boolean inAnswer(String name) {
        return !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
