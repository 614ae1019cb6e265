package org.carobdoor.internal.request;

import java.util.List;

/**
 * What a caller says of a prompt and of the answer to it.
 *
 * @param model the model to run
 * @param promptTokens the tokens of the prompt
 * @param answerTokens the greatest number of tokens of the answer
 * @param parts the parts of the prompt in order; the last one belongs to the request or its session
 *     alone
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

    /** Returns the tokens of the prompt and the longest answer. */
    public long totalTokens() {
        return (long) promptTokens + answerTokens;
    }
}
