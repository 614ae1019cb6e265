package org.carobdoor.internal.store;

/** A change of a key of the store. */
public sealed interface StoreChange {

    /** The key was written. */
    record Written(StoreItem item) implements StoreChange {}

    /** The key was deleted, or its lease ended. */
    record Deleted(String key, long revision) implements StoreChange {}
}
