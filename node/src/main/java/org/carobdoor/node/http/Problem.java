package org.carobdoor.node.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.RunState;

/**
 * A problem document (RFC 9457), extended by the run state of the request.
 *
 * @param status the HTTP status
 * @param slug the identifier of the problem type, also its anchor in the troubleshooting page
 * @param detail a human-readable explanation with the accepted values
 * @param runState whether the request was run
 */
public record Problem(int status, String slug, String detail, RunState runState) {
    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String HELP_PAGE = "docs/TROUBLESHOOTING.md#";

    /** Returns a problem document for a request that was not run. */
    public static Problem notRun(int status, String slug, String detail) {
        return new Problem(status, slug, detail, RunState.NOT_RUN);
    }

    /** Returns a problem document for a request whose outcome is unknown. */
    public static Problem outcomeUnknown(int status, String slug, String detail) {
        return new Problem(status, slug, detail, RunState.UNKNOWN);
    }

    /** Returns the document as JSON. */
    public ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", "urn:carobdoor:problem:" + slug);
        json.put("title", slug.replace('-', ' '));
        json.put("status", status);
        json.put("detail", detail);
        json.put("run_state", runState.label());
        json.put("help", HELP_PAGE + slug);
        // OpenAI client libraries expose this member to the application.
        ObjectNode error = json.putObject("error");
        error.put("message", detail);
        error.put("type", slug);
        error.put("code", slug);
        return json;
    }
}
