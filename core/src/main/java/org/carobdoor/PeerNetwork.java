package org.carobdoor;

import java.time.Instant;
import org.carobdoor.message.PeerMessage;

/**
 * The port to the other nodes.
 *
 * <p>Messages can be lost, delayed, duplicated and reordered. A call whose reply does not arrive by
 * its deadline fails with {@link FailureKind#UNKNOWN}; one that was certainly not sent fails with
 * {@link FailureKind#NOT_DONE}.
 *
 * <pre>{@code
 * network.handle(ClaimRequest.class, (from, request) -> log.answer(request));
 * var reply = network.call(owner, new ClaimRequest(...), deadline);
 * }</pre>
 */
public interface PeerNetwork {

    /** Sends {@code message} to {@code peer} and waits for its reply until {@code deadline}. */
    Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline);

    /**
     * Sends {@code message} to {@code peer} without waiting for its delivery. The message may be
     * lost.
     */
    void send(NodeId peer, PeerMessage message);

    /** Registers the handler of all messages of one type. Each type has at most one handler. */
    <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler);
}
