package org.carobdoor.internal.store;

import java.util.List;

/** What a message about the store means for the copy of the node that received it. */
public sealed interface NewsOutcome {

    /** The copy is complete up to {@code revision}; the changes were not known before. */
    record Applied(List<StoreChange> changes, long revision) implements NewsOutcome {
        /** Copies the list. */
        public Applied {
            changes = List.copyOf(changes);
        }
    }

    /** The copy was replaced by a complete list, current at {@code revision}. */
    record Replaced(List<StoreItem> items, long revision) implements NewsOutcome {
        /** Copies the list. */
        public Replaced {
            items = List.copyOf(items);
        }
    }

    /** Changes before those of the message are missing; nothing was applied. */
    record Gap() implements NewsOutcome {}

    /** The message belongs to an era that has ended, or the copy has not been read yet. */
    record Unusable() implements NewsOutcome {}
}
