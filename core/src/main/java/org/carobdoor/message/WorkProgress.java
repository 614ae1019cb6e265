package org.carobdoor.message;

import java.util.List;

/**
 * Carries new chunks of all requests whose copies are on the same node.
 *
 * @param chunks the new chunks
 */
public record WorkProgress(List<WorkChunk> chunks) implements WorkMessage {

    /** Copies the list. */
    public WorkProgress {
        chunks = List.copyOf(chunks);
    }
}
