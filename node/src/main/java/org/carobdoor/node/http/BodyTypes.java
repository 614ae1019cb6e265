package org.carobdoor.node.http;

import io.jooby.Context;
import java.util.List;
import java.util.Locale;

/**
 * Refuses form bodies. The server decodes them before a handler sees them, so their bytes could not
 * be passed on as they were sent.
 */
final class BodyTypes {
    private static final int UNSUPPORTED_MEDIA_TYPE = 415;
    private static final List<String> FORMS =
            List.of("application/x-www-form-urlencoded", "multipart/form-data");

    private BodyTypes() {}

    /**
     * Checks the media type of the body.
     *
     * @throws ProblemException with status 415 if it is that of a form
     */
    static void checkNoForm(Context ctx) {
        String type = ctx.header("Content-Type").value("").toLowerCase(Locale.ROOT);
        if (FORMS.stream().anyMatch(type::startsWith)) {
            throw new ProblemException(
                    Problem.notRun(
                            UNSUPPORTED_MEDIA_TYPE,
                            "unsupported-media-type",
                            "form bodies are not passed on; send Content-Type: application/json"
                                    + " or another type that is no form"));
        }
    }
}
