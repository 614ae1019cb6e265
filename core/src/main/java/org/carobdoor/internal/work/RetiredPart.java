package org.carobdoor.internal.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;

/**
 * Remembers that this node gave up its part, so that a copy or chunk that was delayed on the way
 * does not revive it.
 *
 * @param epoch the epoch that superseded this node
 * @param successor the node to ask for the answer
 * @param keepUntil when messages of the superseded epoch can no longer arrive
 */
record RetiredPart(int epoch, Optional<NodeId> successor, Instant keepUntil) implements Part {}
