package org.carobdoor.internal.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size that drops the entry used least recently. */
final class LeastRecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxSize;

    LeastRecentlyUsedMap(int maxSize) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
