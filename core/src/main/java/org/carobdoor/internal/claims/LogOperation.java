package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.List;
import org.carobdoor.Bytes;

/** What the driver of a {@link ClaimLog} has to do next. */
public sealed interface LogOperation {

    /** Nothing; ask again after the next submission. */
    record Idle() implements LogOperation {}

    /** Nothing before {@code until}, or before the next submission. */
    record Pause(Instant until) implements LogOperation {}

    /** Read the head. */
    record ReadHead(Instant deadline) implements LogOperation {}

    /** Read these segments, all at once. */
    record ReadSegments(List<Long> numbers, Instant deadline) implements LogOperation {}

    /** Write the head if its version is {@code expectedVersion}. */
    record WriteHead(long expectedVersion, Bytes value, Instant deadline) implements LogOperation {}

    /** Write a segment that does not exist yet. */
    record WriteSegment(long number, Bytes value, Instant deadline) implements LogOperation {}

    /** Delete a segment, whose version is 1. */
    record DeleteSegment(long number, Instant deadline) implements LogOperation {}
}
