package org.carobdoor;

import java.util.List;
import java.util.Optional;

/**
 * The nodes that this node knows. Views of different nodes differ for seconds after a change, so
 * nothing that must be agreed may rest on them.
 */
public interface MembershipView {

    /** Returns this node. */
    Member self();

    /** Returns the nodes that are alive or suspect, this node included, ordered by id. */
    List<Member> live();

    /** Returns the node with {@code id} in whatever state, if it is known. */
    Optional<Member> find(NodeId id);

    /**
     * Calls {@code listener} after each change of state of another node, on an unspecified thread.
     */
    void onChange(MembershipListener listener);
}
