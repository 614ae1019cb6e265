package org.carobdoor.message;

/**
 * What a node has granted of an account's quota.
 *
 * @param account the client account
 * @param granted the units granted since the node's start
 * @param available the units that the node believes are available
 */
public record AccountUse(String account, double granted, double available) {}
