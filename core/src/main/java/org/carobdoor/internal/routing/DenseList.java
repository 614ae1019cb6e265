package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Values by key in a dense list. Adding, replacing and removing take constant time: a removal moves
 * the last element into the gap. The order of the elements is therefore arbitrary. Not thread-safe.
 *
 * <pre>{@code
 * list.put(image.id(), image);
 * EndpointSnapshot any = list.at(random.nextInt(list.size()));
 * }</pre>
 *
 * <p>Source: "Gödel Scheduler Performance Optimization: Algorithm Design Ideas and Data Structure
 * Applications".
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class DenseList<K, V> {
    private final List<K> keys = new ArrayList<>();
    private final List<V> values = new ArrayList<>();
    private final Map<K, Integer> index = new HashMap<>();

    /** Adds a value or replaces that of the same key. */
    public void put(K key, V value) {
        Integer at = index.get(key);
        if (at != null) {
            values.set(at, value);
        } else {
            index.put(key, values.size());
            keys.add(key);
            values.add(value);
        }
    }

    /** Removes the value of {@code key} and returns it, or null if there was none. */
    public @Nullable V remove(K key) {
        Integer at = index.remove(key);
        if (at == null) {
            return null;
        }
        int last = values.size() - 1;
        K lastKey = keys.remove(last);
        V lastValue = values.remove(last);
        if (at == last) {
            return lastValue;
        }
        keys.set(at, lastKey);
        index.put(lastKey, at);
        return values.set(at, lastValue);
    }

    /** Returns the value of {@code key}, or null if there is none. */
    public @Nullable V get(K key) {
        Integer at = index.get(key);
        return at == null ? null : values.get(at);
    }

    /** Returns the value at a position, which a removal can change. */
    public V at(int i) {
        return values.get(i);
    }

    /** Returns the number of values. */
    public int size() {
        return values.size();
    }
}
