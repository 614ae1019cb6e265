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
 * A set of versioned items of which every node holds a copy. An item only ever moves forward in the
 * order of its {@link MergeRule}. Safe for use by several threads.
 *
 * <pre>{@code
 * var replica = VersionedReplica.create(Map.of("endpoint/", new MergeRule.LaterLifeWins(life)));
 * List<ReplicaItem> news = replica.apply(message.items());
 * List<ReplicaItem> answer = replica.differing(pull.digests(), 0, MAX_BYTES);
 * }</pre>
 *
 * <p>Items are spread over buckets. Each bucket has a lock and a digest, the sum of the hashes of
 * its items, so that two replicas find their differences by exchanging the digests.
 */
public final class VersionedReplica {
    /**
     * With 1,500 items, a bucket holds about 12. A pull carries 8 bytes for each bucket, which is
     * little compared with the items of one differing bucket.
     */
    public static final int BUCKETS = 128;

    private static final long FNV_PRIME = 0x100000001b3L;
    private static final MergeRule DEFAULT_RULE = new MergeRule.HigherRevisionWins();

    /** An item may cost this much on the wire beyond its key and value. */
    private static final int ITEM_OVERHEAD = 24;

    private static final class Shard {
        final ReentrantLock lock = new ReentrantLock();
        final Map<String, ReplicaItem> items = new HashMap<>();
        long digest;
    }

    private final Shard[] shards = new Shard[BUCKETS];
    private final Map<String, MergeRule> rules;

    private VersionedReplica(Map<String, MergeRule> rules) {
        this.rules = Map.copyOf(rules);
        for (int i = 0; i < BUCKETS; i++) {
            shards[i] = new Shard();
        }
    }

    /**
     * Returns an empty replica.
     *
     * @param rules by prefix of the key; for other keys the higher revision wins
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
        MergeRule rule = rule(item.key());
        Shard s = shards[bucket(item.key())];
        s.lock.lock();
        try {
            ReplicaItem old = s.items.get(item.key());
            if (old != null && rule.compare(item, old) <= 0) {
                return false;
            }
            ReplicaItem replaced = s.items.put(item.key(), item);
            if (replaced != null) {
                Preconditions.checkInvariant(
                        rule.compare(item, replaced) > 0,
                        "item " + item.key() + " went back from revision " + replaced.revision());
                s.digest -= hash(replaced);
            }
            s.digest += hash(item);
            return true;
        } finally {
            s.lock.unlock();
        }
    }

    /** Returns the item with {@code key}, which may be a tombstone. */
    public Optional<ReplicaItem> get(String key) {
        Shard s = shards[bucket(key)];
        s.lock.lock();
        try {
            return Optional.ofNullable(s.items.get(key));
        } finally {
            s.lock.unlock();
        }
    }

    /** Returns the items whose key starts with {@code prefix}, tombstones included, by key. */
    public List<ReplicaItem> list(String prefix) {
        Map<String, ReplicaItem> found = new TreeMap<>();
        for (Shard s : shards) {
            collect(s, i -> i.key().startsWith(prefix), found);
        }
        return List.copyOf(found.values());
    }

    /** Returns the digest of each bucket, in bucket order. */
    public List<Long> bucketDigests() {
        List<Long> digests = new ArrayList<>(BUCKETS);
        for (Shard s : shards) {
            s.lock.lock();
            try {
                digests.add(s.digest);
            } finally {
                s.lock.unlock();
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
     * Returns the items of the buckets whose digest is not as in {@code digests}, whole buckets at
     * a time.
     *
     * @param start the bucket to begin with; a random one lets repeated calls get past buckets that
     *     bring the receiver nothing new
     * @param maxBytes stops after the bucket that exceeds it
     */
    public List<ReplicaItem> differing(List<Long> digests, int start, int maxBytes) {
        Preconditions.checkArgument(digests.size() == BUCKETS, "a pull needs 128 digests");
        List<Long> own = bucketDigests();
        Map<String, ReplicaItem> found = new TreeMap<>();
        long bytes = 0;
        for (int i = 0; i < BUCKETS && bytes <= maxBytes; i++) {
            int b = Math.floorMod(start + i, BUCKETS);
            if (!own.get(b).equals(digests.get(b))) {
                bytes += collect(shards[b], item -> true, found);
            }
        }
        return List.copyOf(found.values());
    }

    private static long collect(
            Shard s, Predicate<ReplicaItem> filter, Map<String, ReplicaItem> into) {
        long bytes = 0;
        s.lock.lock();
        try {
            for (ReplicaItem i : s.items.values()) {
                if (filter.test(i)) {
                    into.put(i.key(), i);
                    bytes += ITEM_OVERHEAD + i.key().length() + i.value().size();
                }
            }
        } finally {
            s.lock.unlock();
        }
        return bytes;
    }

    private MergeRule rule(String key) {
        for (Map.Entry<String, MergeRule> e : rules.entrySet()) {
            if (key.startsWith(e.getKey())) {
                return e.getValue();
            }
        }
        return DEFAULT_RULE;
    }

    private static int bucket(String key) {
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
