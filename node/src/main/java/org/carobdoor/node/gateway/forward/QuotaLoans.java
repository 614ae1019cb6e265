package org.carobdoor.node.gateway.forward;

import org.carobdoor.ClientAccount;

/** Borrows quota from other nodes for requests that exceed the part of this node. */
public interface QuotaLoans {
    /** Receives the answer, exactly once and on the event loop. */
    interface Callback {
        /** Called with whether all units were granted. */
        void answered(boolean granted);
    }

    /** Grants nothing. */
    QuotaLoans NONE = (account, units, callback) -> callback.answered(false);

    /** Asks for the units of one request; answers within a fraction of a second. */
    void borrow(ClientAccount account, double units, Callback callback);
}
