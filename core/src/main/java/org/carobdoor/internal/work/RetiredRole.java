package org.carobdoor.internal.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;

/**
 * Records that this node has relinquished its role, so that a delayed copy or chunk does not
 * restore it.
 *
 * @param epoch the epoch that superseded this node
 * @param successor the node that readers are redirected to
 * @param expiresAt when messages of the superseded epoch can no longer arrive
 */
record RetiredRole(int epoch, Optional<NodeId> successor, Instant expiresAt)
        implements RequestRole {}
