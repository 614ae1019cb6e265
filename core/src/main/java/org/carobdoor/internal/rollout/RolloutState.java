package org.carobdoor.internal.rollout;

import java.util.List;

/**
 * The state of a roll-out, which the nodes follow. Kept in the store, so that a new duty holder
 * continues from it.
 *
 * @param service the service
 * @param to the new version
 * @param orderRevision store revision of the order
 * @param durationMillis the time from the order to its deadline
 * @param deadlineMillis the deadline in cluster time
 * @param phase how far the roll-out has come
 * @param phaseSinceMillis when the phase began, in cluster time
 * @param share the fraction of new requests that go to the new version
 * @param oldVersions the versions of the accepting endpoints at the order
 * @param barred versions of earlier orders that were not completed, which get no requests
 * @param answers the evidence at the time of the last write
 * @param reason why the phase was entered
 */
public record RolloutState(
        String service,
        String to,
        long orderRevision,
        long durationMillis,
        long deadlineMillis,
        RolloutPhase phase,
        long phaseSinceMillis,
        double share,
        List<String> oldVersions,
        List<String> barred,
        AnswerCounts answers,
        String reason) {
    /** Copies the lists. */
    public RolloutState {
        oldVersions = List.copyOf(oldVersions);
        barred = List.copyOf(barred);
    }

    RolloutState enter(
            RolloutPhase next, double nextShare, AnswerCounts seen, String why, long nowMillis) {
        return new RolloutState(
                service,
                to,
                orderRevision,
                durationMillis,
                deadlineMillis,
                next,
                next == phase ? phaseSinceMillis : nowMillis,
                nextShare,
                oldVersions,
                barred,
                seen,
                why);
    }
}
