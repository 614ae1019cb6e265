package org.carobdoor.internal.admission;

import java.util.List;

/** Whether a request is served. */
public sealed interface AdmissionDecision {

    /**
     * The request is served.
     *
     * @param targets those of its targets that have room; route to no other
     */
    record Admitted(List<String> targets) implements AdmissionDecision {

        /** Copies the list. */
        public Admitted {
            targets = List.copyOf(targets);
        }
    }

    /**
     * The request is refused and was not run.
     *
     * @param reason what to tell the caller
     */
    record Shed(String reason) implements AdmissionDecision {}
}
