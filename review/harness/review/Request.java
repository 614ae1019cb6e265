package review;

import java.util.List;

/** A request that a server has read completely. */
record Request(String method, String target, List<String> headers, byte[] body) {
    /** Returns the value of a header; empty if it is missing. */
    String header(String name) {
        for (String h : headers) {
            int colon = h.indexOf(':');
            if (colon > 0 && h.substring(0, colon).trim().equalsIgnoreCase(name)) {
                return h.substring(colon + 1).trim();
            }
        }
        return "";
    }

    String id() {
        return header("X-Attempt-Id");
    }
}
