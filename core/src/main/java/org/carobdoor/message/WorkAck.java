package org.carobdoor.message;

import java.util.Map;

/**
 * Acknowledges {@link WorkCopy} and {@link WorkProgress} messages.
 *
 * @param offsets number of tokens stored, by request id
 * @param epochs highest known epoch, by request id; if it is higher than the epoch of an
 *     acknowledged attempt, that attempt is superseded
 */
public record WorkAck(Map<String, Integer> offsets, Map<String, Integer> epochs)
        implements WorkMessage {

    /** Copies the maps. */
    public WorkAck {
        offsets = Map.copyOf(offsets);
        epochs = Map.copyOf(epochs);
    }
}
