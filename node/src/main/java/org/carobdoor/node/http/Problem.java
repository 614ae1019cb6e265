package org.carobdoor.node.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.RunState;

/**
 * A problem document (RFC 9457) that also says whether the request was run.
 *
 * @param status the HTTP status
 * @param slug the short name of the problem, also its anchor in the troubleshooting page
 * @param detail what happened and what is allowed, for a person to read
 * @param runState whether the request was run
 */
public record Problem(int status, String slug, String detail, RunState runState) {
    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String HELP = "docs/TROUBLESHOOTING.md#";

    /** Returns a problem of a request that was not run. */
    public static Problem notRun(int status, String slug, String detail) {
        return new Problem(status, slug, detail, RunState.NOT_RUN);
    }

    /** Returns a problem of a request whose outcome is not known. */
    public static Problem unknown(int status, String slug, String detail) {
        return new Problem(status, slug, detail, RunState.UNKNOWN);
    }

    /** Returns the JSON of the document. */
    public ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", "urn:carobdoor:problem:" + slug);
        json.put("title", slug.replace('-', ' '));
        json.put("status", status);
        json.put("detail", detail);
        json.put("run_state", runState.label());
        json.put("help", HELP + slug);
        // OpenAI client libraries show this member to their callers.
        ObjectNode error = json.putObject("error");
        error.put("message", detail);
        error.put("type", slug);
        error.put("code", slug);
        return json;
    }
}
