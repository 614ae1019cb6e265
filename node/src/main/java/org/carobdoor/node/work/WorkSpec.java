package org.carobdoor.node.work;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * A request to run.
 *
 * @param entry the name of the catalogue entry, whose retry budget applies
 * @param payload the encoded request, passed to the {@link TokenSource}
 * @param repeatable whether the request may run more than once
 * @param deadline when the request and its answer expire
 */
public record WorkSpec(String entry, Bytes payload, boolean repeatable, Instant deadline) {}
