package org.carobdoor.internal.fleet;

import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;

/** Estimates the engine time of a request, from which the fleet size is derived. */
public final class EngineTimeEstimator {
    /**
     * Engine time that a generated token adds to a step shared with other requests, in
     * milliseconds.
     */
    private static final double MILLIS_PER_GENERATED_TOKEN = 0.1;

    /** Prompt tokens that an otherwise idle engine processes per millisecond. */
    private static final double PROMPT_TOKENS_PER_MILLI = 50;

    /** Average length of an answer as a fraction of its maximum length. */
    private static final double MEAN_ANSWER_FRACTION = 0.5;

    private EngineTimeEstimator() {}

    /** Returns the engine time in milliseconds of a prompt whose shared parts are cached. */
    public static double millis(Prompt prompt) {
        int shared =
                prompt.parts().subList(0, prompt.sharedParts()).stream()
                        .mapToInt(PromptPart::tokens)
                        .sum();
        return Math.max(0, prompt.promptTokens() - shared) / PROMPT_TOKENS_PER_MILLI
                + prompt.answerTokens() * MEAN_ANSWER_FRACTION * MILLIS_PER_GENERATED_TOKEN;
    }
}
