package org.carobdoor.internal.store;

/** A change to a key in the store. */
public sealed interface StoreChange {

    /** The key was written. */
    record Written(StoreItem item) implements StoreChange {}

    /** The key was deleted or its lease expired. */
    record Deleted(String key, long revision) implements StoreChange {}
}
