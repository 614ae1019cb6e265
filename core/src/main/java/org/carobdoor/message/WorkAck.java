package org.carobdoor.message;

import java.util.Map;

/**
 * Acknowledges copies and progress.
 *
 * @param offsets the number of tokens held, by request id
 * @param epochs the highest epoch known, by request id; higher than the sender's means that the
 *     sender's attempt is superseded
 */
public record WorkAck(Map<String, Integer> offsets, Map<String, Integer> epochs)
        implements WorkMessage {

    /** Copies the maps. */
    public WorkAck {
        offsets = Map.copyOf(offsets);
        epochs = Map.copyOf(epochs);
    }
}
