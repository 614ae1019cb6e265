package org.carobdoor.internal.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.Bytes;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.StoreNews;

/**
 * A copy of the keys of the store with a prefix, which several sources keep up to date: the watch
 * of the node, and the messages of nodes that watch the store for others.
 *
 * <p>The copy is complete up to a revision of an era. Sources overlap, lag behind each other and
 * lose messages: what is not newer than the copy is dropped, so no source takes it back, and a
 * message whose changes do not follow on the copy is a gap. Not thread-safe.
 */
public final class PrefixCopy {
    /** Changes kept for nodes that missed some; one that missed more gets all items. */
    private static final int MAX_RECENT = 512;

    private static final Comparator<ReplicaItem> BY_REVISION =
            Comparator.comparingLong(ReplicaItem::revision);

    private final String prefix;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Deque<ReplicaItem> recent = new ArrayDeque<>();
    private boolean loaded;
    private long era;
    private long revision;

    /** The revision of the last change; there is none between it and {@link #revision}. */
    private long changeRevision;

    /** The revision after which {@link #recent} has all changes. */
    private long recentAfter;

    private PrefixCopy(String prefix) {
        this.prefix = prefix;
    }

    /** Returns a copy of the keys with {@code prefix} that has not been read yet. */
    public static PrefixCopy create(String prefix) {
        return new PrefixCopy(prefix);
    }

    /** Returns whether the copy has been read. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the era of the store that the revisions belong to; 0 if the store states none. */
    public long era() {
        return era;
    }

    /** Returns the revision up to which the copy is complete. */
    public long revision() {
        return revision;
    }

    /** Returns the revision of the last change. */
    public long changeRevision() {
        return changeRevision;
    }

    /** Applies a complete list that this node has read from the store. */
    public NewsOutcome load(long storeEra, Collection<StoreItem> all, long storeRevision) {
        if (loaded && storeEra < era) {
            return new NewsOutcome.Unusable();
        }
        if (loaded && storeEra == era) {
            if (storeRevision < revision) {
                return new NewsOutcome.Applied(List.of(), revision);
            }
            recordDifferences(all, storeRevision);
        } else {
            recent.clear();
            changeRevision = storeRevision;
            recentAfter = storeRevision;
        }
        items.clear();
        all.forEach(i -> items.put(i.key(), i));
        loaded = true;
        era = storeEra;
        revision = storeRevision;
        return new NewsOutcome.Replaced(List.copyOf(all), storeRevision);
    }

    /** Applies the changes up to {@code storeRevision} that the watch of this node has returned. */
    public NewsOutcome.Applied watched(List<StoreChange> changes, long storeRevision) {
        return apply(changes.stream().map(PrefixCopy::toReplicaItem).toList(), storeRevision);
    }

    /** Applies a message of a node that watches the store. */
    public NewsOutcome receive(StoreNews news) {
        if (!loaded || news.era() < era) {
            return new NewsOutcome.Unusable();
        }
        if (news.afterRevision() == 0) {
            return load(
                    news.era(),
                    news.items().stream().filter(i -> !i.deleted()).map(this::toItem).toList(),
                    news.revision());
        }
        if (news.era() > era || news.afterRevision() > revision) {
            return new NewsOutcome.Gap();
        }
        return apply(news.items(), news.revision());
    }

    /**
     * Returns the message for a node whose copy is complete up to {@code known}: the changes since,
     * or all items if the copy does not have these changes any more.
     *
     * @param ageMillis the time since the last reply of the store to this node
     */
    public StoreNews newsAfter(long known, long ageMillis) {
        if (known >= changeRevision) {
            return new StoreNews(era, prefix, changeRevision, revision, List.of(), ageMillis, 0);
        }
        if (known < recentAfter) {
            List<ReplicaItem> all = new ArrayList<>();
            items.values().forEach(i -> all.add(toReplicaItem(new StoreChange.Written(i))));
            return new StoreNews(era, prefix, 0, revision, all, ageMillis, 0);
        }
        List<ReplicaItem> changes = recent.stream().filter(i -> i.revision() > known).toList();
        return new StoreNews(era, prefix, known, revision, changes, ageMillis, 0);
    }

    private NewsOutcome.Applied apply(List<ReplicaItem> changes, long upTo) {
        List<StoreChange> applied = new ArrayList<>();
        for (ReplicaItem i : changes.stream().sorted(BY_REVISION).toList()) {
            if (i.revision() <= revision) {
                continue;
            }
            record(i);
            if (i.deleted()) {
                items.remove(i.key());
                applied.add(new StoreChange.Deleted(i.key(), i.revision()));
            } else {
                items.put(i.key(), toItem(i));
                applied.add(new StoreChange.Written(toItem(i)));
            }
        }
        revision = Math.max(Math.max(revision, upTo), changeRevision);
        return new NewsOutcome.Applied(applied, revision);
    }

    /** Records what a complete list changes. Items newer than the list are reported again. */
    private void recordDifferences(Collection<StoreItem> all, long storeRevision) {
        List<ReplicaItem> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreItem i : all) {
            present.add(i.key());
            if (i.revision() > revision && i.revision() <= storeRevision) {
                changes.add(toReplicaItem(new StoreChange.Written(i)));
            }
        }
        for (String key : items.keySet()) {
            if (!present.contains(key)) {
                changes.add(new ReplicaItem(key, storeRevision, true, Bytes.empty()));
            }
        }
        changes.sort(BY_REVISION);
        changes.forEach(this::record);
    }

    private void record(ReplicaItem change) {
        recent.addLast(change);
        changeRevision = Math.max(changeRevision, change.revision());
        if (recent.size() > MAX_RECENT) {
            recentAfter = recent.removeFirst().revision();
        }
    }

    private StoreItem toItem(ReplicaItem i) {
        return new StoreItem(i.key(), i.value(), i.revision());
    }

    private static ReplicaItem toReplicaItem(StoreChange change) {
        return switch (change) {
            case StoreChange.Written(StoreItem i) ->
                    new ReplicaItem(i.key(), i.revision(), false, i.value());
            case StoreChange.Deleted(String key, long at) ->
                    new ReplicaItem(key, at, true, Bytes.empty());
        };
    }
}
