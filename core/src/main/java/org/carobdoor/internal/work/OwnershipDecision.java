package org.carobdoor.internal.work;

import java.util.Optional;
import org.carobdoor.NodeId;

/**
 * The write-once decision that ends a term of one request.
 *
 * @param winner the owner of the next term
 * @param holder the copy holder of the next term, empty if there is none
 */
public record OwnershipDecision(NodeId winner, Optional<NodeId> holder) {}
