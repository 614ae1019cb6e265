package org.carobdoor.node.work;

/**
 * A request to a {@link TokenSource}.
 *
 * @param requestId the id of the request
 * @param spec what to run
 * @param attempt the number of the attempt at this node
 * @param resumeText the text already emitted
 * @param resumeTokens the number of tokens already emitted
 */
public record TokenRequest(
        String requestId, WorkSpec spec, int attempt, String resumeText, int resumeTokens) {}
