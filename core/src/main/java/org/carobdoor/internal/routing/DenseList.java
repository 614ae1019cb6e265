package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A list of values that are also indexed by key. Insertion, replacement and removal take constant
 * time: a removal moves the last element into the freed position, so the order of the elements is
 * arbitrary. Not thread-safe.
 *
 * <pre>{@code
 * list.put(endpoint.id(), endpoint);
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

    /** Associates {@code value} with {@code key}, replacing any previous value. */
    public void put(K key, V value) {
        Integer position = index.get(key);
        if (position != null) {
            values.set(position, value);
        } else {
            index.put(key, values.size());
            keys.add(key);
            values.add(value);
        }
    }

    /** Removes {@code key} and returns its value, or null if it was absent. */
    public @Nullable V remove(K key) {
        Integer position = index.remove(key);
        if (position == null) {
            return null;
        }
        int last = values.size() - 1;
        K lastKey = keys.remove(last);
        V lastValue = values.remove(last);
        if (position == last) {
            return lastValue;
        }
        keys.set(position, lastKey);
        index.put(lastKey, position);
        return values.set(position, lastValue);
    }

    /** Returns the value of {@code key}, or null if there is none. */
    public @Nullable V get(K key) {
        Integer position = index.get(key);
        return position == null ? null : values.get(position);
    }

    /** Returns the value at position {@code i}. Removals can change the position of a value. */
    public V at(int i) {
        return values.get(i);
    }

    /** Returns the number of values. */
    public int size() {
        return values.size();
    }
}
