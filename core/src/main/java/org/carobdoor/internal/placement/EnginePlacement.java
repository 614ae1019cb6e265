package org.carobdoor.internal.placement;

import java.util.Collection;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.request.Prompt;

/**
 * Chooses the model engine with the shortest expected time to the first token.
 *
 * <p>The expected time covers the prompt tokens queued at the engine and the tokens of this prompt
 * that the engine has not cached. Each shared prompt part has two home engines, which all nodes
 * compute by rendezvous hashing without exchanging messages. The first home is expected to have the
 * part cached, so requests go there until its queue costs more than prefilling the part elsewhere;
 * then they go to the second home.
 *
 * <p>This policy is designed for bursts of long prompts with shared parts, mixed with short prompts
 * that must not queue behind them, on engines that are added, removed or slowed down.
 */
public final class EnginePlacement {
    /**
     * Delay added for each running request, because each one slows the decoding steps of an engine.
     */
    private static final double DELAY_PER_RUNNING_MILLIS = 1.5;

    /**
     * Penalty for an engine without a free slot or free memory, where the request waits until
     * another one ends.
     */
    private static final double FULL_PENALTY_MILLIS = 1_500;

    /** Penalty for an engine that is silent with work outstanding and may be dead. */
    private static final double SUSPECT_PENALTY_MILLIS = 4_000;

    /** Share of the KV cache that running requests may occupy. */
    private static final double MAX_MEMORY_SHARE = 0.85;

    /** Minimum retry delay returned with a refusal. */
    private static final long MIN_RETRY_AFTER_MILLIS = 200;

    private EnginePlacement() {}

    /**
     * Chooses among {@code engines}, the engines of the service that accept new requests.
     *
     * @param prompt the prompt of the request
     * @param slots number of requests that one engine runs concurrently
     * @param memoryTokens capacity of the KV cache of one engine, in tokens
     * @param zone the availability zone of this node
     * @param maxExpectedMillis maximum acceptable time to the first token
     */
    public static Placement choose(
            Collection<EndpointLoad> engines,
            Prompt prompt,
            int slots,
            long memoryTokens,
            AvailabilityZone zone,
            double maxExpectedMillis,
            long nowNanos) {
        HomeEngines homes = HomeEngines.of(engines, prompt);
        FastestEndpointSelector selector = new FastestEndpointSelector(zone);
        for (EndpointLoad engine : engines) {
            int newTokens = homes.unreadTokens(engine, prompt);
            double millis = (engine.totalUnreadTokens() + newTokens) / engine.tokensPerMilli();
            millis += engine.totalRunning() * DELAY_PER_RUNNING_MILLIS;
            millis += engine.remainingWarmUpMillis(nowNanos);
            long held = engine.heldTokens() + prompt.totalTokens();
            if (engine.totalRunning() >= slots || held > memoryTokens * MAX_MEMORY_SHARE) {
                millis += FULL_PENALTY_MILLIS;
            }
            if (engine.isSuspect(nowNanos)) {
                millis += SUSPECT_PENALTY_MILLIS;
            }
            selector.addCandidate(engine, millis, newTokens);
        }
        return selector.result(maxExpectedMillis, MIN_RETRY_AFTER_MILLIS);
    }
}
