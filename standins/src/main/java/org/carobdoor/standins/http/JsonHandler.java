package org.carobdoor.standins.http;

import io.jooby.Context;

/** Handles an HTTP request with a JSON response. Runs on a virtual thread and may block. */
@FunctionalInterface
public interface JsonHandler {

    /** Handles the request and returns the response. */
    Reply handle(Context context) throws Exception;
}
