package org.carobdoor.message;

import java.util.List;

/**
 * The quota of a client account that a node has granted.
 *
 * @param account the client account
 * @param granted the units granted since the start of the node
 * @param recent the units granted by all nodes in the window that ends now, divided into equal
 *     parts, newest first; empty unless a node has started recently
 */
public record AccountUse(String account, double granted, List<Double> recent) {
    /** Copies the list. */
    public AccountUse {
        recent = List.copyOf(recent);
    }
}
