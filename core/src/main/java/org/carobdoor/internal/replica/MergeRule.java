package org.carobdoor.internal.replica;

import java.util.Comparator;
import java.util.function.ToIntFunction;
import org.carobdoor.message.ReplicaItem;

/**
 * A total order on the versions of one item; the greatest version wins. Because the order is the
 * same on all nodes, replicas converge whatever the order of messages.
 */
public sealed interface MergeRule {

    /** Compares two versions of one item; 0 only if they are equal. */
    int compare(ReplicaItem a, ReplicaItem b);

    /** The higher revision wins, as for catalogue entries. */
    record HigherRevisionWins() implements MergeRule {
        // Two versions with one revision are a fault of the writer; the order is made total so
        // that replicas converge all the same.
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
     * The later state of life wins whatever the revision, as for endpoint records: several nodes
     * write them from what each has heard, and a late report must not bring a leaving endpoint
     * back. Of two versions in the same state, the higher revision wins. A tombstone is the last
     * state.
     *
     * @param life the state of life in an item that is no tombstone; grows along its life
     */
    record LaterLifeWins(ToIntFunction<ReplicaItem> life) implements MergeRule {

        @Override
        public int compare(ReplicaItem a, ReplicaItem b) {
            int byLife = Integer.compare(rank(a), rank(b));
            return byLife != 0 ? byLife : new HigherRevisionWins().compare(a, b);
        }

        private int rank(ReplicaItem i) {
            return i.deleted() ? Integer.MAX_VALUE : life.applyAsInt(i);
        }
    }
}
