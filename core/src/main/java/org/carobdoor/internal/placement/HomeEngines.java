package org.carobdoor.internal.placement;

import java.util.Collection;
import java.util.List;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.jspecify.annotations.Nullable;

/**
 * The two engines that all nodes prefer for the longest shared part of a prompt, computed by
 * rendezvous hashing without exchanging messages.
 */
record HomeEngines(@Nullable EndpointLoad first, @Nullable EndpointLoad second) {
    /**
     * Share of a shared part that the second home is expected to prefill, averaged over its
     * requests.
     */
    private static final double SECOND_HOME_PREFILL_SHARE = 0.4;

    static HomeEngines of(Collection<EndpointLoad> engines, Prompt prompt) {
        if (engines.isEmpty() || prompt.sharedParts() == 0) {
            return new HomeEngines(null, null);
        }
        long key = prompt.parts().get(prompt.sharedParts() - 1).id();
        EndpointLoad first = null;
        EndpointLoad second = null;
        long firstWeight = 0;
        long secondWeight = 0;
        for (EndpointLoad engine : engines) {
            long weight = engine.weightFor(key);
            if (first == null || Long.compareUnsigned(weight, firstWeight) > 0) {
                second = first;
                secondWeight = firstWeight;
                first = engine;
                firstWeight = weight;
            } else if (second == null || Long.compareUnsigned(weight, secondWeight) > 0) {
                second = engine;
                secondWeight = weight;
            }
        }
        return new HomeEngines(first, second);
    }

    /** Returns the prompt tokens that {@code engine} is expected to prefill. */
    int unreadTokens(EndpointLoad engine, Prompt prompt) {
        List<PromptPart> parts = prompt.parts();
        int partTokens = 0;
        double unreadTokens = 0;
        int residentCount = engine.residentParts().leadingResidentParts(parts);
        for (int i = 0; i < parts.size(); i++) {
            int tokens = parts.get(i).tokens();
            partTokens += tokens;
            if (i >= residentCount) {
                unreadTokens += tokens * (i < prompt.sharedParts() ? shareToPrefill(engine) : 1);
            }
        }
        return (int) unreadTokens + Math.max(0, prompt.promptTokens() - partTokens);
    }

    boolean contains(EndpointLoad engine) {
        return engine == first || engine == second;
    }

    private double shareToPrefill(EndpointLoad engine) {
        return engine == first ? 0 : engine == second ? SECOND_HOME_PREFILL_SHARE : 1;
    }
}
