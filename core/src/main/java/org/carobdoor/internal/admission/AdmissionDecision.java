package org.carobdoor.internal.admission;

import java.util.List;

/** Whether a request is admitted. */
public sealed interface AdmissionDecision {

    /**
     * The request is admitted.
     *
     * @param targets the targets with sufficient capacity; the request must not be routed to any
     *     other
     */
    record Admitted(List<String> targets) implements AdmissionDecision {

        /** Copies the list. */
        public Admitted {
            targets = List.copyOf(targets);
        }
    }

    /**
     * The request is shed and was not run.
     *
     * @param reason the reason, for the caller
     */
    record Shed(String reason) implements AdmissionDecision {}
}
