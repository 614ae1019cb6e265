package org.carobdoor.message;

import java.util.List;

/**
 * Carries the new chunks of all requests that share a copy holder.
 *
 * @param chunks the chunks
 */
public record WorkProgress(List<WorkChunk> chunks) implements WorkMessage {

    /** Copies the list. */
    public WorkProgress {
        chunks = List.copyOf(chunks);
    }
}
