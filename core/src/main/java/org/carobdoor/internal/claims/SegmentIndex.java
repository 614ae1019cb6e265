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
 * Tells which sealed segments may hold a key, at 4 bytes a record: it keeps 32 bits of each key's
 * hash, sorted. A key that is not there matches one of a million records by chance once in 4,000
 * look-ups, which costs one read of a segment.
 */
final class SegmentIndex {
    /** Segments kept decoded while messages about their keys are decided. */
    static final int MAX_OPEN = 16;

    private final Map<Long, int[]> fingerprints = new HashMap<>();
    private final Map<Long, List<ClaimRecord>> open =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, List<ClaimRecord>> eldest) {
                    return size() > MAX_OPEN;
                }
            };

    /** Adds a segment that has just been sealed or read. */
    void add(long number, List<ClaimRecord> records) {
        int[] sorted = records.stream().mapToInt(r -> fingerprint(r.key())).toArray();
        Arrays.sort(sorted);
        fingerprints.put(number, sorted);
    }

    /** Keeps the decoded records of a segment for the decisions to come. */
    void open(long number, List<ClaimRecord> records) {
        open.put(number, records);
    }

    void closeAll() {
        open.clear();
    }

    void retain(Collection<Long> numbers) {
        fingerprints.keySet().retainAll(numbers);
        open.keySet().retainAll(numbers);
    }

    boolean contains(long number) {
        return fingerprints.containsKey(number);
    }

    /** Returns which of {@code segments} may hold {@code key}, newest first. */
    List<Long> candidates(Id128 key, List<SegmentInfo> segments) {
        int wanted = fingerprint(key);
        List<Long> found = new ArrayList<>();
        for (int i = segments.size() - 1; i >= 0; i--) {
            long number = segments.get(i).number();
            int[] sorted = fingerprints.getOrDefault(number, new int[0]);
            if (contains(sorted, wanted)) {
                found.add(number);
            }
        }
        return found;
    }

    /** Returns the decoded records of a segment, or null if it has to be read. */
    @Nullable List<ClaimRecord> records(long number) {
        return open.get(number);
    }

    /** Returns the number of indexed records. */
    int size() {
        return fingerprints.values().stream().mapToInt(sorted -> sorted.length).sum();
    }

    /**
     * Hashes are uniform, so a value lies about where its size says: a scan from there touches one
     * or two cache lines, where a binary search of every segment touches ten.
     */
    private static boolean contains(int[] sorted, int wanted) {
        long rank = (long) wanted - Integer.MIN_VALUE;
        int i = (int) (rank * sorted.length >>> Integer.SIZE);
        while (i > 0 && sorted[i] > wanted) {
            i--;
        }
        while (i < sorted.length - 1 && sorted[i] < wanted) {
            i++;
        }
        return sorted.length > 0 && sorted[i] == wanted;
    }

    private static int fingerprint(Id128 key) {
        return (int) key.low();
    }
}
