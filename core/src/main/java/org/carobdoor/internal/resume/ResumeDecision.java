package org.carobdoor.internal.resume;

/** Which endpoints may continue a stream. */
public sealed interface ResumeDecision {
    /** Those of one version. */
    record Only(String version) implements ResumeDecision {}

    /** The records in the store decide. */
    record AskStore() implements ResumeDecision {}

    /** None: the version that began the stream cannot be told. */
    record Unknown() implements ResumeDecision {}
}
