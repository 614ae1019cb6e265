package org.carobdoor.node.endpoint;

import java.util.Locale;
import java.util.Set;

/** Decides which HTTP headers are passed on between caller and endpoint. */
public final class PassedHeaders {
    /** Headers of one connection (RFC 9110, section 7.6.1) or set anew by the next sender. */
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

    private PassedHeaders() {}

    /** Returns whether the header {@code name} of a request is passed on to the endpoint. */
    public static boolean inRequest(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        // The key authenticates the caller to this system only; the account's name is passed
        // instead. Without Accept-Encoding the answer arrives as the endpoint made it.
        return !HOP_BY_HOP.contains(lower)
                && !lower.equals("authorization")
                && !lower.equals("accept-encoding")
                && !lower.equals("x-client-account");
    }

    /** Returns whether the header {@code name} of an answer is passed on to the caller. */
    public static boolean inAnswer(String name) {
        return !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
