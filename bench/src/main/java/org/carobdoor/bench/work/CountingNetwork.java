package org.carobdoor.bench.work;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.atomic.LongAdder;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkProgress;

/**
 * Counts the messages of a network, including replies, and the bytes of their payload: text and
 * identifiers at their UTF-8 length, and {@value #NUMBER_BYTES} bytes for each number with its tag.
 * Envelopes and frames are not counted.
 */
final class CountingNetwork implements PeerNetwork {
    private static final int NUMBER_BYTES = 4;

    private final PeerNetwork network;
    private final LongAdder messages;
    private final LongAdder bytes;

    CountingNetwork(PeerNetwork network, LongAdder messages, LongAdder bytes) {
        this.network = network;
        this.messages = messages;
        this.bytes = bytes;
    }

    private void count(PeerMessage message) {
        messages.increment();
        bytes.add(size(message));
    }

    private static long size(PeerMessage message) {
        return switch (message) {
            case WorkCopy copy ->
                    utf8Length(copy.requestId())
                            + copy.request().size()
                            + utf8Length(copy.text())
                            + 4 * NUMBER_BYTES;
            case WorkProgress progress ->
                    progress.chunks().stream().mapToLong(CountingNetwork::size).sum();
            case WorkAck ack ->
                    ack.offsets().keySet().stream()
                                    .mapToLong(id -> utf8Length(id) + 2 * NUMBER_BYTES)
                                    .sum()
                            + ack.epochs().keySet().stream()
                                    .mapToLong(id -> utf8Length(id) + 2 * NUMBER_BYTES)
                                    .sum();
            default -> 0;
        };
    }

    private static long size(WorkChunk chunk) {
        return utf8Length(chunk.requestId()) + utf8Length(chunk.text()) + 5 * NUMBER_BYTES;
    }

    private static long utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    @Override
    public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
        count(message);
        Result<PeerMessage> reply = network.call(peer, message, deadline);
        if (reply instanceof Result.Ok<PeerMessage>(var value)) {
            count(value);
        }
        return reply;
    }

    @Override
    public void send(NodeId peer, PeerMessage message) {
        count(message);
        network.send(peer, message);
    }

    @Override
    public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
        network.handle(type, handler);
    }
}
