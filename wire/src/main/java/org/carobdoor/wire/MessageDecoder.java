package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.message.AnswerCopy;
import org.carobdoor.message.AnswerRead;
import org.carobdoor.message.AnswerReply;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.carobdoor.message.LoadReport;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkProgress;
import org.carobdoor.message.WorkReadReply;
import org.carobdoor.wire.proto.MessagesProto;

/** Converts protobuf to messages that need more than a constructor call. */
final class MessageDecoder {
    private MessageDecoder() {}

    static Bytes toBytes(ByteString b) {
        return Bytes.of(b.toByteArray());
    }

    static ClaimRequest decodeClaimRequest(MessagesProto.ClaimRequest p) {
        return new ClaimRequest(
                p.getLog(),
                toBytes(p.getKeyHash()),
                toBytes(p.getToken()),
                Instant.ofEpochMilli(p.getRememberUntil()),
                Instant.ofEpochMilli(p.getDeadline()));
    }

    static ClaimReply decodeClaimReply(MessagesProto.ClaimReply p) {
        ClaimReply.Outcome outcome =
                switch (p.getOutcome()) {
                    case GRANTED -> ClaimReply.Outcome.GRANTED;
                    case HELD -> ClaimReply.Outcome.HELD;
                    case DONE -> ClaimReply.Outcome.DONE;
                    case NOT_OWNER -> ClaimReply.Outcome.NOT_OWNER;
                    case UNAVAILABLE -> ClaimReply.Outcome.UNAVAILABLE;
                    case TOO_OLD -> ClaimReply.Outcome.TOO_OLD;
                    case RELEASED -> ClaimReply.Outcome.RELEASED;
                    case NOT_RECORDED -> ClaimReply.Outcome.NOT_RECORDED;
                    case UNSPECIFIED, UNRECOGNIZED ->
                            throw new IllegalArgumentException("claim reply has no outcome");
                };
        return new ClaimReply(outcome, toBytes(p.getToken()), p.getStatus(), p.getHolder());
    }

    static ClaimUpdate decodeClaimUpdate(MessagesProto.ClaimUpdate p) {
        return new ClaimUpdate(
                p.getLog(), toBytes(p.getKeyHash()), toBytes(p.getToken()), p.getStatus());
    }

    static ClaimLookup decodeClaimLookup(MessagesProto.ClaimLookup p) {
        return new ClaimLookup(p.getLog(), toBytes(p.getKeyHash()));
    }

    static AnswerCopy decodeAnswerCopy(MessagesProto.AnswerCopy p) {
        return new AnswerCopy(
                toBytes(p.getKeyHash()),
                p.getStatus(),
                p.getContentType(),
                toBytes(p.getBody()),
                Instant.ofEpochMilli(p.getAnswerKeptUntil()));
    }

    static AnswerRead decodeAnswerRead(MessagesProto.AnswerRead p) {
        return new AnswerRead(toBytes(p.getKeyHash()));
    }

    static AnswerReply decodeAnswerReply(MessagesProto.AnswerReply p) {
        return new AnswerReply(p.getStatus(), p.getContentType(), toBytes(p.getBody()));
    }

    static LoadReport decodeLoadReport(MessagesProto.LoadReport p) {
        return new LoadReport(
                p.getOutstandingTokensMap().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        e -> new EndpointId(e.getKey()), Map.Entry::getValue)));
    }

    static ReplicaItems decodeReplicaItems(MessagesProto.ReplicaItems p) {
        return new ReplicaItems(
                p.getItemsList().stream().map(MessageDecoder::decodeReplicaItem).toList(),
                p.getRelay());
    }

    static ReplicaItem decodeReplicaItem(MessagesProto.ReplicaItem p) {
        return new ReplicaItem(p.getKey(), p.getRevision(), p.getDeleted(), toBytes(p.getValue()));
    }

    static WorkCopy decodeWorkCopy(MessagesProto.WorkCopy p) {
        return new WorkCopy(
                p.getRequestId(),
                p.getEpoch(),
                toBytes(p.getRequest()),
                p.getOffset(),
                p.getText(),
                Instant.ofEpochMilli(p.getDeadline()));
    }

    static WorkProgress decodeWorkProgress(MessagesProto.WorkProgress p) {
        return new WorkProgress(
                p.getChunksList().stream()
                        .map(
                                c ->
                                        new WorkChunk(
                                                c.getRequestId(),
                                                c.getEpoch(),
                                                c.getOffset(),
                                                c.getTokens(),
                                                c.getText(),
                                                c.getLast()))
                        .toList());
    }

    static WorkReadReply decodeWorkReadReply(MessagesProto.WorkReadReply p) {
        return new WorkReadReply(
                p.getKnown(),
                p.getEpoch(),
                p.getOffset(),
                p.getTokens(),
                p.getText(),
                p.getState());
    }
}
