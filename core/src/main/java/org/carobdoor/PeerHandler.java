package org.carobdoor;

import org.carobdoor.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Handles messages of one type from peers. Each call runs on its own virtual thread and may block.
 *
 * @param <M> the type of the messages
 */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {

    /** Handles {@code message} and returns the reply, or null if there is none. */
    @Nullable PeerMessage handle(NodeId from, M message);
}
