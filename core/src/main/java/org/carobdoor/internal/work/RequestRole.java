package org.carobdoor.internal.work;

import java.time.Instant;

/** The role of this node for one request. */
sealed interface RequestRole permits OwnerRole, CopyHolderRole, RetiredRole {

    /** Returns the highest epoch known to this node. */
    int epoch();

    /** Returns when the role can be removed from the table. */
    Instant expiresAt();
}
