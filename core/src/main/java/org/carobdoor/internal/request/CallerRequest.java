package org.carobdoor.internal.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * The head of a caller's request.
 *
 * @param id identifies this request of the caller; a retry by the caller has a different identifier
 * @param host the host that the request names
 * @param path the path without the query
 * @param waitMillis how long the caller waits for the answer, if it says so
 * @param key the API key of the caller's account, if it sent one
 * @param prompt the prompt, on routes of model engines
 * @param resumeAfter the identifier of the last event that the caller received, if it resumes a
 *     stream
 * @param resumes the request of the caller that brought the first event of that stream
 */
public record CallerRequest(
        String id,
        String host,
        String path,
        OptionalLong waitMillis,
        @Nullable String key,
        Optional<Prompt> prompt,
        Optional<String> resumeAfter,
        Optional<String> resumes) {

    @Override
    public String toString() {
        // Omits the key, so that it cannot reach a log.
        return "CallerRequest[" + id + " " + host + path + "]";
    }
}
