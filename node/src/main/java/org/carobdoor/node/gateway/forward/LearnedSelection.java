package org.carobdoor.node.gateway.forward;

import java.util.List;
import java.util.Optional;
import org.carobdoor.internal.capacity.ExpectedTimes;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.placement.DecisionView;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.LearnedEnginePlacement;
import org.carobdoor.internal.placement.LearnedPlainPlacement;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.placement.PromptLanes;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.node.gateway.endpoint.LearnedCapacities;

/** Chooses the endpoint of a call by learned capacity. */
final class LearnedSelection {
    private LearnedSelection() {}

    /** Chooses among {@code candidates}. */
    static Placement choose(
            CallContext call, List<EndpointLoad> candidates, double maxMillis, long nowNanos) {
        ForwardingState state = call.state();
        LearnedCapacities capacities = state.endpoints().capacities();
        DecisionView view = capacities.view(state.zone(), state.random(), nowNanos);
        Optional<Prompt> prompt = call.request().prompt();
        Optional<EngineTraits> traits = call.service().engine();
        if (prompt.isEmpty() || traits.isEmpty()) {
            double expectedMillis = ExpectedTimes.plainMillis(call.route().objectiveMillis());
            return LearnedPlainPlacement.choose(candidates, expectedMillis, view, maxMillis);
        }
        EngineTraits engine = traits.get();
        if (prompt.get().totalTokens() > engine.kvCacheTokens()) {
            return new Placement.Saturated(0);
        }
        PromptLanes lanes = capacities.lanes(call.service().name());
        lanes.record(prompt.get(), call.rank(), nowNanos);
        return LearnedEnginePlacement.choose(
                candidates,
                prompt.get(),
                engine.slots(),
                engine.kvCacheTokens(),
                lanes,
                call.rank(),
                view,
                maxMillis);
    }
}
