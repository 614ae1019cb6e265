package org.carobdoor.internal.placement;

import java.util.Collection;
import java.util.List;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the model engine with the shortest expected time to the first token.
 *
 * <p>The expected time is that of the prompt tokens waiting at the engine, plus that of the tokens
 * of this prompt that the engine does not hold. Each shared prompt part has two home engines, which
 * all nodes find by rendezvous hashing without messages. The first home is expected to hold the
 * part, so requests follow each other there until its queue costs more than reading the part
 * elsewhere; then they move to the second home.
 *
 * <p>Load answered: long prompts with shared parts in bursts, beside short prompts that must not
 * wait behind them; engines that come, go and slow down.
 */
public final class EnginePlacement {
    /** Share of a shared part that the second home is expected to read, averaged over its uses. */
    private static final double SECOND_HOME_SHARE = 0.4;

    /** Each running request slows the steps of an engine; counted in milliseconds of delay. */
    private static final double MILLIS_PER_RUNNING = 1.5;

    /** Added when the running requests leave no slot or memory: the request waits for an end. */
    private static final double FULL_MILLIS = 1_500;

    /** Added for an engine that is silent with work outstanding: it may be dead. */
    private static final double SUSPECT_MILLIS = 4_000;

    /** Share of the memory up to which running requests are placed. */
    private static final double MEMORY_SHARE = 0.85;

    /** The least time that a refused request is told to wait, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 200;

    private EnginePlacement() {}

    /**
     * Chooses among {@code engines}, which are those of the service that may get new requests.
     *
     * @param prompt the prompt to read
     * @param slots requests that one engine runs at once
     * @param memoryTokens the tokens that the KV cache of one engine holds
     * @param zone the zone of this node
     * @param patienceMillis the longest time to the first token that is worth waiting for
     */
    public static Placement choose(
            Collection<EndpointLoad> engines,
            Prompt prompt,
            int slots,
            long memoryTokens,
            AvailabilityZone zone,
            double patienceMillis,
            long nowNanos) {
        Homes homes = Homes.of(engines, prompt);
        BestChoice choice = new BestChoice(zone);
        for (EndpointLoad e : engines) {
            int unread = unreadTokens(e, prompt, homes);
            double millis = (e.unreadEverywhere() + unread) / e.tokensPerMilli();
            millis += e.runningEverywhere() * MILLIS_PER_RUNNING;
            millis += e.warmUpLeftMillis(nowNanos);
            long held = e.heldTokens() + prompt.totalTokens();
            if (e.runningEverywhere() >= slots || held > memoryTokens * MEMORY_SHARE) {
                millis += FULL_MILLIS;
            }
            if (e.isSuspect(nowNanos)) {
                millis += SUSPECT_MILLIS;
            }
            choice.offer(e, millis, unread);
        }
        return choice.result(patienceMillis, MIN_RETRY_MILLIS);
    }

    private static int unreadTokens(EndpointLoad e, Prompt prompt, Homes homes) {
        List<PromptPart> parts = prompt.parts();
        int listed = 0;
        double unread = 0;
        int resident = e.residentParts().leadingResident(parts);
        for (int i = 0; i < parts.size(); i++) {
            int tokens = parts.get(i).tokens();
            listed += tokens;
            if (i >= resident) {
                unread += tokens * (i < prompt.sharedParts() ? homes.shareToRead(e) : 1);
            }
        }
        return (int) unread + Math.max(0, prompt.promptTokens() - listed);
    }

    /** The two engines to which all nodes send the longest shared part of a prompt first. */
    private record Homes(@Nullable EndpointLoad first, @Nullable EndpointLoad second) {
        static Homes of(Collection<EndpointLoad> engines, Prompt prompt) {
            if (engines.isEmpty() || prompt.sharedParts() == 0) {
                return new Homes(null, null);
            }
            long key = prompt.parts().get(prompt.sharedParts() - 1).id();
            EndpointLoad first = null;
            EndpointLoad second = null;
            long firstWeight = 0;
            long secondWeight = 0;
            for (EndpointLoad e : engines) {
                long w = e.weightFor(key);
                if (first == null || Long.compareUnsigned(w, firstWeight) > 0) {
                    second = first;
                    secondWeight = firstWeight;
                    first = e;
                    firstWeight = w;
                } else if (second == null || Long.compareUnsigned(w, secondWeight) > 0) {
                    second = e;
                    secondWeight = w;
                }
            }
            return new Homes(first, second);
        }

        double shareToRead(EndpointLoad e) {
            return e == first ? 0 : e == second ? SECOND_HOME_SHARE : 1;
        }
    }
}
