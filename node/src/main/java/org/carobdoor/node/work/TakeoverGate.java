package org.carobdoor.node.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.work.OwnershipDecision;

/**
 * Takes the write-once decision that ends a term of one request, when a node that could act for it
 * does not answer.
 */
@FunctionalInterface
public interface TakeoverGate {

    /**
     * Stores the decision unless one is stored, and returns the stored one.
     *
     * @param winner the owner of the next term
     * @param holder its copy holder, if it has one
     * @param until when the request is no longer of use, and the decision can be deleted
     */
    Result<OwnershipDecision> decide(
            String requestId,
            int term,
            NodeId winner,
            Optional<NodeId> holder,
            Instant until,
            Instant deadline);
}
