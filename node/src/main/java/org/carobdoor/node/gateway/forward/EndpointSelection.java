package org.carobdoor.node.gateway.forward;

import java.util.List;
import java.util.Optional;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.EnginePlacement;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.placement.PlainPlacement;
import org.carobdoor.internal.request.Prompt;

/** Chooses the endpoint of a call. */
final class EndpointSelection {
    /**
     * Maximum fraction of the time to the deadline that a request may spend in a queue; a request
     * that would wait longer is refused.
     */
    private static final double MAX_QUEUE_TIME_FRACTION = 0.5;

    private EndpointSelection() {}

    /** Chooses among {@code candidates}. */
    static Placement choose(CallContext call, List<EndpointLoad> candidates, long now) {
        ForwardingState state = call.state();
        Service service = call.service();
        double maxQueueMillis = call.remainingMillis(now) * MAX_QUEUE_TIME_FRACTION;
        Optional<Prompt> prompt = call.request().prompt();
        boolean engine = service.engine().isPresent() && prompt.isPresent();
        if (state.endpoints().capacities().isUsedFor(engine)) {
            return LearnedSelection.choose(call, candidates, maxQueueMillis, now);
        }
        if (!engine) {
            return PlainPlacement.choose(candidates, state.zone(), maxQueueMillis, now);
        }
        EngineTraits traits = service.engine().get();
        if (prompt.get().totalTokens() > traits.kvCacheTokens()) {
            return new Placement.Saturated(0);
        }
        return EnginePlacement.choose(
                candidates,
                prompt.get(),
                traits.slots(),
                traits.kvCacheTokens(),
                state.zone(),
                maxQueueMillis,
                now);
    }
}
