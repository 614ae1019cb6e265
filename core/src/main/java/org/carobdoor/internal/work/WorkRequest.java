package org.carobdoor.internal.work;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * A request accepted, or to be accepted, by a node.
 *
 * @param id the text form of a {@link RequestId}
 * @param payload the encoded request, opaque to this package
 * @param submitted whether the caller gets the id and reads the answer later; otherwise the caller
 *     keeps a stream open
 * @param deadline when the request and its answer expire
 */
public record WorkRequest(String id, Bytes payload, boolean submitted, Instant deadline) {}
