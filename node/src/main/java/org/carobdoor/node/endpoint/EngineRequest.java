package org.carobdoor.node.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request to a model engine.
 *
 * @param chat whether it is a chat completion, else a text completion
 * @param body the caller's request body
 * @param resumeText the text of the answer that was emitted before; empty at the start
 * @param resumeTokens the number of tokens in {@code resumeText}
 * @param priority the class of the entry, 1 (matters most) to 4
 */
public record EngineRequest(
        boolean chat, ObjectNode body, String resumeText, int resumeTokens, int priority) {}
