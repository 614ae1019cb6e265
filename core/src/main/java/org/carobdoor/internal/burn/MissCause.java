package org.carobdoor.internal.burn;

import java.util.Locale;

/** Why a request missed its objective. */
public enum MissCause {
    /** Its endpoint or its node was reclaimed. */
    RECLAIM,
    /** It was shed for lack of capacity. */
    SHED,
    /** A limit of its entry or account was reached. */
    LIMIT,
    /** The endpoint was slow, or failed. */
    ENGINE,
    /** The caller's deadline passed. */
    DEADLINE;

    /** Returns the name used in reports and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
