package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request for a completion.
 *
 * @param chat whether the request uses the chat API
 * @param model the name of the model
 * @param prompt the prompt as a single text
 * @param stream whether the response is streamed
 * @param maxTokens the number of tokens of the whole text, including those of an earlier part
 * @param resumeText the earlier part of the text, after which generation continues
 * @param resumeTokens the number of tokens of the earlier part
 * @param priority the priority; requests with a lower number enter the batch first
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
        String maxTokensField = json.has("max_tokens") ? "max_tokens" : "max_completion_tokens";
        return new GenerationRequest(
                chat,
                json.path("model").asText(),
                chat ? AnswerText.chatPrompt(json.path("messages")) : json.path("prompt").asText(),
                json.path("stream").asBoolean(false),
                json.path(maxTokensField).asInt(DEFAULT_MAX_TOKENS),
                json.path("resume_text").asText(""),
                json.path("resume_tokens").asInt(0),
                json.path("priority").asInt(0));
    }

    /** Returns the text that the engine must have processed before it generates token {@code i}. */
    String contextBefore(int i) {
        return prompt + " " + AnswerText.text(prompt, 0, i);
    }

    /** Returns whether the earlier part is the text that an engine would have generated. */
    boolean hasValidResumeText() {
        return resumeTokens >= 0 && resumeText.equals(AnswerText.text(prompt, 0, resumeTokens));
    }
}
