package org.carobdoor.node.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request to a model engine.
 *
 * @param chat whether this is a chat completion rather than a text completion
 * @param body the caller's request body
 * @param resumeText the answer text emitted by earlier attempts; empty on the first attempt
 * @param resumeTokens the number of tokens in {@code resumeText}
 * @param priority the class of the entry, 1 (highest) to 4
 */
public record EngineRequest(
        boolean chat, ObjectNode body, String resumeText, int resumeTokens, int priority) {}
