package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * One item of the versioned replica.
 *
 * @param key the key of the item, for example {@code "entry/bids"}
 * @param revision increases with each change of the item; the higher revision wins
 * @param deleted whether the item is a tombstone
 * @param value the value; empty for a tombstone
 */
public record ReplicaItem(String key, long revision, boolean deleted, Bytes value) {}
