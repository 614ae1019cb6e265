package org.carobdoor.internal.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.message.ReplicaItem;

/**
 * A set of versioned items that is replicated to every node. An item is replaced only by a greater
 * version in the order of its {@link MergeRule}. Thread-safe.
 *
 * <pre>{@code
 * var replica = VersionedReplica.create(Map.of("endpoint/", new MergeRule.LaterLifeWins(rank)));
 * List<ReplicaItem> changed = replica.apply(message.items());
 * List<ReplicaItem> reply = replica.differing(pull.digests(), 0, MAX_BYTES);
 * }</pre>
 *
 * <p>Items are distributed over buckets. Each bucket has a lock and a digest, the sum of the hashes
 * of its items, so that two replicas find their differences by exchanging the digests.
 */
public final class VersionedReplica {
    /**
     * The number of buckets. With 1,500 items, a bucket contains about 12. A pull sends 8 bytes per
     * bucket, which is little compared with the items of one differing bucket.
     */
    public static final int BUCKETS = 128;

    private static final long FNV_PRIME = 0x100000001b3L;
    private static final MergeRule DEFAULT_RULE = new MergeRule.HigherRevisionWins();

    /** The maximum encoded size of an item in bytes beyond its key and value. */
    private static final int ITEM_OVERHEAD = 24;

    private static final class Bucket {
        final ReentrantLock lock = new ReentrantLock();
        final Map<String, ReplicaItem> items = new HashMap<>();
        long digest;
    }

    private final Bucket[] buckets = new Bucket[BUCKETS];
    private final Map<String, MergeRule> rules;

    private VersionedReplica(Map<String, MergeRule> rules) {
        this.rules = Map.copyOf(rules);
        for (int i = 0; i < BUCKETS; i++) {
            buckets[i] = new Bucket();
        }
    }

    /**
     * Returns an empty replica.
     *
     * @param rules the rules by key prefix; for other keys the higher revision wins
     */
    public static VersionedReplica create(Map<String, MergeRule> rules) {
        return new VersionedReplica(rules);
    }

    /** Merges {@code items} and returns those that changed the replica. */
    public List<ReplicaItem> apply(Collection<ReplicaItem> items) {
        List<ReplicaItem> changed = new ArrayList<>();
        for (ReplicaItem item : items) {
            if (apply(item)) {
                changed.add(item);
            }
        }
        return changed;
    }

    private boolean apply(ReplicaItem item) {
        MergeRule rule = ruleFor(item.key());
        Bucket bucket = buckets[bucketIndex(item.key())];
        bucket.lock.lock();
        try {
            ReplicaItem old = bucket.items.get(item.key());
            if (old != null && rule.compare(item, old) <= 0) {
                return false;
            }
            ReplicaItem replaced = bucket.items.put(item.key(), item);
            if (replaced != null) {
                Preconditions.checkInvariant(
                        rule.compare(item, replaced) > 0,
                        "item "
                                + item.key()
                                + " does not supersede revision "
                                + replaced.revision());
                bucket.digest -= hash(replaced);
            }
            bucket.digest += hash(item);
            return true;
        } finally {
            bucket.lock.unlock();
        }
    }

    /** Returns the item with {@code key}, which may be a tombstone. */
    public Optional<ReplicaItem> get(String key) {
        Bucket bucket = buckets[bucketIndex(key)];
        bucket.lock.lock();
        try {
            return Optional.ofNullable(bucket.items.get(key));
        } finally {
            bucket.lock.unlock();
        }
    }

    /** Returns the items whose key starts with {@code prefix}, tombstones included, by key. */
    public List<ReplicaItem> list(String prefix) {
        Map<String, ReplicaItem> found = new TreeMap<>();
        for (Bucket bucket : buckets) {
            collect(bucket, i -> i.key().startsWith(prefix), found);
        }
        return List.copyOf(found.values());
    }

    /** Returns the digest of each bucket, in bucket order. */
    public List<Long> bucketDigests() {
        List<Long> digests = new ArrayList<>(BUCKETS);
        for (Bucket bucket : buckets) {
            bucket.lock.lock();
            try {
                digests.add(bucket.digest);
            } finally {
                bucket.lock.unlock();
            }
        }
        return digests;
    }

    /** Returns the digest of the whole replica; 0 if it is empty. */
    public long digest() {
        long h = 0;
        for (long d : bucketDigests()) {
            h = h * 31 + d;
        }
        return h;
    }

    /**
     * Returns the items of the buckets whose digests differ from {@code digests}, in whole buckets.
     *
     * @param start the first bucket; a random one lets repeated calls reach all buckets even if
     *     some contain nothing new for the receiver
     * @param maxBytes the size after which no further bucket is added
     */
    public List<ReplicaItem> differing(List<Long> digests, int start, int maxBytes) {
        Preconditions.checkArgument(digests.size() == BUCKETS, "expected 128 bucket digests");
        List<Long> own = bucketDigests();
        Map<String, ReplicaItem> found = new TreeMap<>();
        long bytes = 0;
        for (int i = 0; i < BUCKETS && bytes <= maxBytes; i++) {
            int b = Math.floorMod(start + i, BUCKETS);
            if (!own.get(b).equals(digests.get(b))) {
                bytes += collect(buckets[b], item -> true, found);
            }
        }
        return List.copyOf(found.values());
    }

    private static long collect(
            Bucket bucket, Predicate<ReplicaItem> filter, Map<String, ReplicaItem> into) {
        long bytes = 0;
        bucket.lock.lock();
        try {
            for (ReplicaItem i : bucket.items.values()) {
                if (filter.test(i)) {
                    into.put(i.key(), i);
                    bytes += ITEM_OVERHEAD + i.key().length() + i.value().size();
                }
            }
        } finally {
            bucket.lock.unlock();
        }
        return bytes;
    }

    private MergeRule ruleFor(String key) {
        for (Map.Entry<String, MergeRule> e : rules.entrySet()) {
            if (key.startsWith(e.getKey())) {
                return e.getValue();
            }
        }
        return DEFAULT_RULE;
    }

    private static int bucketIndex(String key) {
        return (int) (Rendezvous.weight("bucket", key) & (BUCKETS - 1));
    }

    private static long hash(ReplicaItem i) {
        long h = Rendezvous.weight(i.key(), i.revision() + (i.deleted() ? "-" : "+"));
        for (byte b : i.value().toByteArray()) {
            h = (h ^ b) * FNV_PRIME;
        }
        return h ^ (h >>> 32);
    }
}
