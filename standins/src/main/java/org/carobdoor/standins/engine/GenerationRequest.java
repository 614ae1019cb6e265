package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request for a completion.
 *
 * @param chat whether it came to the chat interface
 * @param model the model that is to answer
 * @param prompt the prompt as one text
 * @param stream whether the answer is to be streamed
 * @param maxTokens the number of tokens of the whole answer, those of an earlier part included
 * @param resumeText the earlier part of the answer, after which to continue
 * @param resumeTokens the number of tokens of the earlier part
 * @param priority requests with a lower number join the batch first
 */
record GenerationRequest(
        boolean chat,
        String model,
        String prompt,
        boolean stream,
        int maxTokens,
        String resumeText,
        int resumeTokens,
        int priority) {
    private static final int DEFAULT_MAX_TOKENS = 16;

    static GenerationRequest fromJson(JsonNode json, boolean chat) {
        String limit = json.has("max_tokens") ? "max_tokens" : "max_completion_tokens";
        return new GenerationRequest(
                chat,
                json.path("model").asText(),
                chat ? AnswerText.chatPrompt(json.path("messages")) : json.path("prompt").asText(),
                json.path("stream").asBoolean(false),
                json.path(limit).asInt(DEFAULT_MAX_TOKENS),
                json.path("resume_text").asText(""),
                json.path("resume_tokens").asInt(0),
                json.path("priority").asInt(0));
    }

    /** Returns what the engine must have processed before it generates token {@code i}. */
    String contextBefore(int i) {
        return prompt + " " + AnswerText.text(prompt, 0, i);
    }

    /** Returns whether the earlier part is what an engine would have generated. */
    boolean resumesOwnAnswer() {
        return resumeTokens >= 0 && resumeText.equals(AnswerText.text(prompt, 0, resumeTokens));
    }
}
