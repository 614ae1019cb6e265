package org.carobdoor.standins.gateway;

import java.util.List;

/**
 * A span of time in which a {@link StutteringEndpoint} misbehaves.
 *
 * @param behaviors the behaviors, which are equally frequent
 * @param share the fraction of the requests that they apply to, from 0 to 1
 */
public record EndpointEpisode(List<EndpointBehavior> behaviors, double share) {
    public EndpointEpisode {
        behaviors = List.copyOf(behaviors);
    }
}
