package org.carobdoor.internal.quarantine;

import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.RequestPattern;

/** A conditional write to the store that keeps the quarantine of all nodes. */
public sealed interface QuarantineStoreStep {
    /** Returns the pattern whose entry is written. */
    RequestPattern pattern();

    /** Writes an entry if the store has none for its pattern. */
    record Create(QuarantineEntry entry) implements QuarantineStoreStep {
        @Override
        public RequestPattern pattern() {
            return entry.pattern();
        }
    }

    /** Replaces the entry of {@code revision}. */
    record Update(QuarantineEntry entry, long revision) implements QuarantineStoreStep {
        @Override
        public RequestPattern pattern() {
            return entry.pattern();
        }
    }

    /** Deletes the entry of {@code revision}. */
    record Delete(RequestPattern pattern, long revision) implements QuarantineStoreStep {}
}
