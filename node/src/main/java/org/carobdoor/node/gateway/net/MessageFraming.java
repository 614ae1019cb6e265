package org.carobdoor.node.gateway.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decides whether the head of a message determines where its body ends (RFC 9112, section 6).
 *
 * <p>The decoder takes any transfer coding other than "chunked" for the absence of a body, and a
 * list that contains "chunked" for chunks. Either way, bytes of the body may be read as the next
 * message on the connection.
 */
public final class MessageFraming {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[1-5]\\d\\d");

    private MessageFraming() {}

    /**
     * Returns whether the body has no transfer coding, or "chunked" as its only one. No other
     * coding is supported.
     */
    public static boolean isUnambiguous(HttpMessage head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return true;
        }
        return codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst())
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /**
     * Returns whether a final response ends with its head, whatever its headers say (RFC 9112,
     * section 6.3).
     *
     * @param method the method of the request
     */
    public static boolean endsWithHead(HttpMethod method, HttpResponseStatus status) {
        return method.equals(HttpMethod.HEAD)
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /** Returns whether a status is one of HTTP (RFC 9110, section 15). */
    public static boolean isValidStatus(HttpResponseStatus status) {
        return status.code() >= MIN_STATUS && status.code() <= MAX_STATUS;
    }

    /**
     * Returns whether the reason phrase or a header value contains a status line: the head of one
     * response was cut off inside that line, and another response follows.
     */
    public static boolean containsStatusLine(HttpResponse head) {
        return containsStatusLine(head.status().reasonPhrase())
                || head.headers().entries().stream()
                        .anyMatch(h -> containsStatusLine(h.getValue()));
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
