package org.carobdoor.internal.rollout;

import java.util.Optional;

/**
 * What the duty holder knows when it decides how a roll-out goes on.
 *
 * @param bad why the new version is bad; empty if there is no such evidence
 * @param good whether there is enough evidence that the new version is good
 * @param answers the evidence so far
 * @param newEndpoints the number of accepting endpoints of the new version
 * @param oldEndpoints the number of accepting endpoints of other versions
 * @param oldRunning the requests that run at other versions, on all nodes
 */
public record RolloutView(
        Optional<String> bad,
        boolean good,
        AnswerCounts answers,
        int newEndpoints,
        int oldEndpoints,
        int oldRunning) {}
