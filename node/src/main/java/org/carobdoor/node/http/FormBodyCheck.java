package org.carobdoor.node.http;

import io.jooby.Context;
import java.util.List;
import java.util.Locale;

/**
 * Rejects form bodies. The HTTP server decodes them before a handler runs, so the original bytes
 * are no longer available for forwarding.
 */
final class FormBodyCheck {
    private static final int UNSUPPORTED_MEDIA_TYPE = 415;
    private static final List<String> FORM_MEDIA_TYPES =
            List.of("application/x-www-form-urlencoded", "multipart/form-data");

    private FormBodyCheck() {}

    /**
     * Checks that the media type of the body is not a form type.
     *
     * @throws ProblemException with status 415 if it is a form type
     */
    static void rejectForm(Context ctx) {
        String mediaType = ctx.header("Content-Type").value("").toLowerCase(Locale.ROOT);
        if (FORM_MEDIA_TYPES.stream().anyMatch(mediaType::startsWith)) {
            throw new ProblemException(
                    Problem.notRun(
                            UNSUPPORTED_MEDIA_TYPE,
                            "unsupported-media-type",
                            "form bodies are not supported; send Content-Type: application/json"
                                    + " or another media type that is not a form"));
        }
    }
}
