package org.carobdoor.message;

import java.util.List;

/**
 * What a node has granted of an account's quota.
 *
 * @param account the client account
 * @param granted the units granted since the node's start
 * @param recent the units that all nodes have granted in the window that ends now, by equal parts
 *     of it, newest first; empty unless a node has started lately
 */
public record AccountUse(String account, double granted, List<Double> recent) {
    /** Copies the list. */
    public AccountUse {
        recent = List.copyOf(recent);
    }
}
