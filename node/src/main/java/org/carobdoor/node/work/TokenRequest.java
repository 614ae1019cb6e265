package org.carobdoor.node.work;

/**
 * A request to a {@link TokenSource}.
 *
 * @param requestId the id of the request
 * @param spec the request to run
 * @param attempt the attempt number on this node
 * @param resumeText the text already emitted
 * @param resumeTokens the number of tokens already emitted
 */
public record TokenRequest(
        String requestId, WorkSpec spec, int attempt, String resumeText, int resumeTokens) {}
