package org.carobdoor.message;

/**
 * Asks a node that watches the platform's store for what has changed. The reply is a {@link
 * StoreNews}.
 *
 * @param era the era of the store that the requesting node knows
 * @param prefix the prefix of the watched keys
 * @param revision the revision up to which the requesting node is complete; 0 for all items
 */
public record StoreNewsRequest(long era, String prefix, long revision) implements NodeMessage {}
