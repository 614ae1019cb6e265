package org.carobdoor.internal.claims;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory index of the sealed segments that may contain a key. It stores a sorted 32-bit
 * fingerprint of each key's hash, 4 bytes per record. With a million records, one in 4,000 lookups
 * of absent keys is a false positive, which costs one segment read.
 */
final class SegmentIndex {
    /** Maximum number of decoded segments cached while messages about their keys are decided. */
    static final int MAX_CACHED_SEGMENTS = 16;

    private final Map<Long, int[]> fingerprints = new HashMap<>();
    private final Map<Long, List<ClaimRecord>> cache =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, List<ClaimRecord>> eldest) {
                    return size() > MAX_CACHED_SEGMENTS;
                }
            };

    /** Indexes a segment that has been sealed or read. */
    void add(long number, List<ClaimRecord> records) {
        int[] sorted = records.stream().mapToInt(r -> fingerprint(r.key())).toArray();
        Arrays.sort(sorted);
        fingerprints.put(number, sorted);
    }

    /** Caches the decoded records of a segment. */
    void cache(long number, List<ClaimRecord> records) {
        cache.put(number, records);
    }

    void clearCache() {
        cache.clear();
    }

    void retain(Collection<Long> numbers) {
        fingerprints.keySet().retainAll(numbers);
        cache.keySet().retainAll(numbers);
    }

    boolean contains(long number) {
        return fingerprints.containsKey(number);
    }

    /** Returns the numbers of {@code segments} that may contain {@code key}, newest first. */
    List<Long> candidates(Id128 key, List<SegmentInfo> segments) {
        int target = fingerprint(key);
        List<Long> found = new ArrayList<>();
        for (int i = segments.size() - 1; i >= 0; i--) {
            long number = segments.get(i).number();
            int[] sorted = fingerprints.getOrDefault(number, new int[0]);
            if (contains(sorted, target)) {
                found.add(number);
            }
        }
        return found;
    }

    /** Returns the cached records of a segment, or null if it has to be read. */
    @Nullable List<ClaimRecord> cachedRecords(long number) {
        return cache.get(number);
    }

    /** Returns the number of indexed records. */
    int size() {
        return fingerprints.values().stream().mapToInt(sorted -> sorted.length).sum();
    }

    /**
     * Performs an interpolation search. Hashes are uniformly distributed, so a scan from the
     * estimated position touches one or two cache lines, where a binary search touches ten per
     * segment.
     */
    private static boolean contains(int[] sorted, int target) {
        long rank = (long) target - Integer.MIN_VALUE;
        int i = (int) (rank * sorted.length >>> Integer.SIZE);
        while (i > 0 && sorted[i] > target) {
            i--;
        }
        while (i < sorted.length - 1 && sorted[i] < target) {
            i++;
        }
        return sorted.length > 0 && sorted[i] == target;
    }

    private static int fingerprint(Id128 key) {
        return (int) key.low();
    }
}
