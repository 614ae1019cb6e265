package org.carobdoor.internal.replica;

import java.util.Comparator;
import java.util.function.ToIntFunction;
import org.carobdoor.message.ReplicaItem;

/**
 * A total order on the versions of one item; the greatest version wins. Because the order is the
 * same on all nodes, replicas converge regardless of the message order.
 */
public sealed interface MergeRule {

    /** Compares two versions of one item; 0 only if they are equal. */
    int compare(ReplicaItem a, ReplicaItem b);

    /** The higher revision wins, as for catalogue entries. */
    record HigherRevisionWins() implements MergeRule {
        // Two versions with the same revision are an error of the writer. The further criteria make
        // the order total, so that replicas converge even then.
        private static final Comparator<ReplicaItem> ORDER =
                Comparator.comparingLong(ReplicaItem::revision)
                        .thenComparing(ReplicaItem::deleted)
                        .thenComparing(i -> i.value().toByteArray(), java.util.Arrays::compare);

        @Override
        public int compare(ReplicaItem a, ReplicaItem b) {
            return ORDER.compare(a, b);
        }
    }

    /**
     * The later lifecycle state wins regardless of the revision, as for endpoint records: several
     * nodes write them from their own observations, and a delayed report must not make a leaving
     * endpoint live again. Of two versions in the same state, the higher revision wins. A tombstone
     * is the last state.
     *
     * @param lifecycleRank the lifecycle state of an item that is not a tombstone; grows from state
     *     to state
     */
    record LaterLifeWins(ToIntFunction<ReplicaItem> lifecycleRank) implements MergeRule {

        @Override
        public int compare(ReplicaItem a, ReplicaItem b) {
            int byLifecycle = Integer.compare(rank(a), rank(b));
            return byLifecycle != 0 ? byLifecycle : new HigherRevisionWins().compare(a, b);
        }

        private int rank(ReplicaItem i) {
            return i.deleted() ? Integer.MAX_VALUE : lifecycleRank.applyAsInt(i);
        }
    }
}
