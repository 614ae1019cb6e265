package org.carobdoor.message;

import java.util.List;

/**
 * Instructs the holder of copies to continue requests whose owner is leaving.
 *
 * @param requestIds the ids of the requests
 */
public record WorkHandover(List<String> requestIds) implements WorkMessage {

    /** Copies the list. */
    public WorkHandover {
        requestIds = List.copyOf(requestIds);
    }
}
