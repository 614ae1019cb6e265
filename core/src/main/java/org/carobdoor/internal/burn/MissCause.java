package org.carobdoor.internal.burn;

import java.util.Locale;

/** Why a request missed its objective. */
public enum MissCause {
    /** The endpoint or the node that served the request was reclaimed. */
    RECLAIM,
    /** The request was shed for lack of capacity. */
    SHED,
    /** A limit of its entry or account was reached. */
    LIMIT,
    /** The endpoint was slow or failed. */
    ENGINE,
    /** The deadline of the caller passed. */
    DEADLINE;

    /** Returns the name used in reports and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
