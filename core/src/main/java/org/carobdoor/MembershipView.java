package org.carobdoor;

import java.util.List;
import java.util.Optional;

/**
 * The nodes known to this node. The views of different nodes can differ for seconds after a change,
 * so decisions that require agreement must not depend on them.
 */
public interface MembershipView {

    /** Returns this node. */
    Member self();

    /** Returns the nodes that are alive or suspect, including this node, ordered by id. */
    List<Member> live();

    /** Returns the node with {@code id} in any state, or empty if it is unknown. */
    Optional<Member> find(NodeId id);

    /**
     * Registers {@code listener}, which is called on an unspecified thread after each state change
     * of another node.
     */
    void onChange(MembershipListener listener);
}
