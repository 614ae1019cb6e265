package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.List;
import org.carobdoor.Bytes;

/** The next action that the driver of a {@link ClaimLog} must perform. */
public sealed interface LogOperation {

    /** Nothing to do until the next message is submitted. */
    record Idle() implements LogOperation {}

    /** Nothing to do until {@code until} or until the next message is submitted. */
    record Pause(Instant until) implements LogOperation {}

    /** Read the head. */
    record ReadHead(Instant deadline) implements LogOperation {}

    /** Read these segments in parallel. */
    record ReadSegments(List<Long> numbers, Instant deadline) implements LogOperation {}

    /** Write the head if its version is {@code expectedVersion}. */
    record WriteHead(long expectedVersion, Bytes value, Instant deadline) implements LogOperation {}

    /** Write a segment that does not exist yet. */
    record WriteSegment(long number, Bytes value, Instant deadline) implements LogOperation {}

    /** Delete a segment on condition that its version is 1. */
    record DeleteSegment(long number, Instant deadline) implements LogOperation {}
}
