package org.carobdoor.internal.store;

import org.carobdoor.Bytes;

/**
 * A key in the store with its value.
 *
 * @param key the key
 * @param value the value
 * @param revision the store revision of its last change
 */
public record StoreItem(String key, Bytes value, long revision) {}
