package org.carobdoor.node.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.work.OwnershipDecision;

/**
 * Stores the write-once decision that ends a term of a request when a node that could act for the
 * request does not respond.
 */
@FunctionalInterface
public interface TakeoverStore {

    /**
     * Stores the decision if none is stored yet, and returns the stored decision.
     *
     * @param winner the owner of the next term
     * @param holder its copy holder, if it has one
     * @param until the time after which the request has expired and the decision can be deleted
     */
    Result<OwnershipDecision> decide(
            String requestId,
            int term,
            NodeId winner,
            Optional<NodeId> holder,
            Instant until,
            Instant deadline);
}
