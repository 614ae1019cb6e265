package org.carobdoor.standins.http;

import io.jooby.Context;

/** Handles one HTTP request with a JSON answer. Runs on a virtual thread, so it may block. */
@FunctionalInterface
public interface JsonHandler {

    /** Handles the request. */
    Reply handle(Context context) throws Exception;
}
