package org.carobdoor.internal.store;

import java.util.Locale;

/** How a node learns of changes in the store. */
public enum WatchMode {
    /** It watches the store for itself. */
    WATCHING,
    /** It watches the store and tells other nodes of its zone. */
    READING,
    /** Other nodes tell it; it makes no calls. */
    SERVED;

    /** Returns the name for logs and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
