package org.carobdoor.internal.work;

import java.time.Instant;

/** The part that this node has in one request. */
sealed interface Part permits OwnerMachine, HolderMachine, RetiredPart {

    /** Returns the highest epoch that this node knows. */
    int epoch();

    /** Returns when the part can be dropped. */
    Instant keepUntil();
}
