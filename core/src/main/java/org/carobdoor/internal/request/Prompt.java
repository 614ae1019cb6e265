package org.carobdoor.internal.request;

import java.util.List;

/**
 * Describes a prompt and the requested answer, as declared by the caller.
 *
 * @param model the model to run
 * @param promptTokens the number of tokens of the prompt
 * @param answerTokens the maximum number of tokens of the answer
 * @param parts the parts of the prompt in order; the last one is specific to the request or its
 *     session
 */
public record Prompt(String model, int promptTokens, int answerTokens, List<PromptPart> parts) {

    /** Copies the list of parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the number of leading parts that other requests may share. */
    public int sharedParts() {
        return Math.max(0, parts.size() - 1);
    }

    /** Returns the number of tokens of the prompt and of the longest possible answer. */
    public long totalTokens() {
        return (long) promptTokens + answerTokens;
    }
}
