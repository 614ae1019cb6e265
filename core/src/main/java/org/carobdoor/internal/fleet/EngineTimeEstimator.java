package org.carobdoor.internal.fleet;

import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;

/** Estimates the engine time of a request, from which the size of the fleet follows. */
public final class EngineTimeEstimator {
    /** Engine time that a generated token adds to a step which other requests share. */
    private static final double MILLIS_PER_GENERATED_TOKEN = 0.1;

    /** Prompt tokens that an engine reads in a millisecond when nothing else runs. */
    private static final double READ_TOKENS_PER_MILLI = 50;

    /** Share of the longest answer that answers have on average. */
    private static final double ANSWER_SHARE = 0.5;

    private EngineTimeEstimator() {}

    /** Returns the engine time of a prompt whose shared parts are cached, in milliseconds. */
    public static double millis(Prompt p) {
        int shared =
                p.parts().subList(0, p.sharedParts()).stream().mapToInt(PromptPart::tokens).sum();
        return Math.max(0, p.promptTokens() - shared) / READ_TOKENS_PER_MILLI
                + p.answerTokens() * ANSWER_SHARE * MILLIS_PER_GENERATED_TOKEN;
    }
}
