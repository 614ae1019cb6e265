package org.carobdoor.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks candidates for a key by rendezvous hashing. All nodes that know the same candidates compute
 * the same ranking, and adding or removing a candidate moves only the keys for which it ranks
 * first.
 *
 * <pre>{@code
 * List<Member> owners = Rendezvous.rank("claims/3", members, m -> m.id().value());
 * }</pre>
 *
 * <p>Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Returns {@code candidates} in descending order of their weight for {@code key}. */
    public static <T> List<T> rank(
            String key, Collection<T> candidates, Function<? super T, String> id) {
        Comparator<T> byWeight =
                (a, b) -> Long.compareUnsigned(weight(key, id.apply(b)), weight(key, id.apply(a)));
        return candidates.stream().sorted(byWeight.thenComparing(id::apply)).toList();
    }

    /**
     * Returns the weight of the candidate {@code id} for {@code key}, as an unsigned 64-bit number.
     */
    public static long weight(String key, String id) {
        return mix(hash(hash(FNV_OFFSET, key) ^ '|', id));
    }

    /** Returns a hash of {@code id} for {@link #weight(long, long)}. */
    public static long hash(String id) {
        return mix(hash(FNV_OFFSET, id));
    }

    /**
     * Returns the weight for the numeric {@code key} of the candidate with the hash {@code idHash}.
     */
    public static long weight(long key, long idHash) {
        return mix(mix(key) ^ idHash);
    }

    private static long hash(long seed, String text) {
        long h = seed;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return h;
    }

    /**
     * Applies the 64-bit finalizer of MurmurHash3, because FNV alone mixes the high bits poorly.
     */
    private static long mix(long h) {
        long x = h;
        x = (x ^ (x >>> 33)) * 0xff51afd7ed558ccdL;
        x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return x ^ (x >>> 33);
    }
}
