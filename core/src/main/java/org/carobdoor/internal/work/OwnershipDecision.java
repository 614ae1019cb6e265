package org.carobdoor.internal.work;

import java.util.Optional;
import org.carobdoor.NodeId;

/**
 * The write-once decision that ends a term and sets the owner and copy holder of the next one.
 *
 * @param winner the owner of the next term
 * @param holder the copy holder of the next term, empty if it has none
 */
public record OwnershipDecision(NodeId winner, Optional<NodeId> holder) {}
