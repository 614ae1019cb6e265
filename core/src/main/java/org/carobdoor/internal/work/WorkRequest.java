package org.carobdoor.internal.work;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * A request to accept.
 *
 * @param id its id
 * @param payload the encoded request, which this package does not read
 * @param submitted whether the caller was given the id and reads the answer later; else the caller
 *     holds a stream open
 * @param deadline when the request and its answer are no longer of use
 */
public record WorkRequest(String id, Bytes payload, boolean submitted, Instant deadline) {}
