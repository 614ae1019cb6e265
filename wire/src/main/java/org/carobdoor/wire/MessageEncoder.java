package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import java.util.stream.Collectors;
import org.carobdoor.Bytes;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;
import org.carobdoor.message.AnswerCopy;
import org.carobdoor.message.AnswerRead;
import org.carobdoor.message.AnswerReply;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.carobdoor.message.LoadReport;
import org.carobdoor.message.Ping;
import org.carobdoor.message.Pong;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.ReplicaPull;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;
import org.carobdoor.message.WorkRead;
import org.carobdoor.message.WorkReadReply;
import org.carobdoor.wire.proto.MessagesProto;

/** Converts messages to protobuf. */
final class MessageEncoder {
    private MessageEncoder() {}

    static ByteString toByteString(Bytes b) {
        return ByteString.copyFrom(b.toByteArray());
    }

    static MessagesProto.ClaimRequest encode(ClaimRequest m) {
        return MessagesProto.ClaimRequest.newBuilder()
                .setLog(m.log())
                .setKeyHash(toByteString(m.keyHash()))
                .setToken(toByteString(m.token()))
                .setRememberUntil(m.rememberUntil().toEpochMilli())
                .setDeadline(m.deadline().toEpochMilli())
                .build();
    }

    static MessagesProto.ClaimReply encode(ClaimReply m) {
        var outcome =
                switch (m.outcome()) {
                    case GRANTED -> MessagesProto.ClaimReply.Outcome.GRANTED;
                    case HELD -> MessagesProto.ClaimReply.Outcome.HELD;
                    case DONE -> MessagesProto.ClaimReply.Outcome.DONE;
                    case NOT_OWNER -> MessagesProto.ClaimReply.Outcome.NOT_OWNER;
                    case UNAVAILABLE -> MessagesProto.ClaimReply.Outcome.UNAVAILABLE;
                    case TOO_OLD -> MessagesProto.ClaimReply.Outcome.TOO_OLD;
                    case RELEASED -> MessagesProto.ClaimReply.Outcome.RELEASED;
                    case NOT_RECORDED -> MessagesProto.ClaimReply.Outcome.NOT_RECORDED;
                };
        return MessagesProto.ClaimReply.newBuilder()
                .setOutcome(outcome)
                .setToken(toByteString(m.token()))
                .setStatus(m.status())
                .setHolder(m.holder())
                .build();
    }

    static MessagesProto.ClaimUpdate encode(ClaimUpdate m) {
        return MessagesProto.ClaimUpdate.newBuilder()
                .setLog(m.log())
                .setKeyHash(toByteString(m.keyHash()))
                .setToken(toByteString(m.token()))
                .setStatus(m.status())
                .build();
    }

    static MessagesProto.ClaimLookup encode(ClaimLookup m) {
        return MessagesProto.ClaimLookup.newBuilder()
                .setLog(m.log())
                .setKeyHash(toByteString(m.keyHash()))
                .build();
    }

    static MessagesProto.AnswerCopy encode(AnswerCopy m) {
        return MessagesProto.AnswerCopy.newBuilder()
                .setKeyHash(toByteString(m.keyHash()))
                .setStatus(m.status())
                .setContentType(m.contentType())
                .setBody(toByteString(m.body()))
                .setAnswerKeptUntil(m.answerKeptUntil().toEpochMilli())
                .build();
    }

    static MessagesProto.AnswerRead encode(AnswerRead m) {
        return MessagesProto.AnswerRead.newBuilder().setKeyHash(toByteString(m.keyHash())).build();
    }

    static MessagesProto.AnswerReply encode(AnswerReply m) {
        return MessagesProto.AnswerReply.newBuilder()
                .setStatus(m.status())
                .setContentType(m.contentType())
                .setBody(toByteString(m.body()))
                .build();
    }

    static MessagesProto.AllotmentRequest encode(AllotmentRequest m) {
        return MessagesProto.AllotmentRequest.newBuilder()
                .setLimit(m.limit())
                .setWanted(m.wanted())
                .build();
    }

    static MessagesProto.AllotmentReply encode(AllotmentReply m) {
        return MessagesProto.AllotmentReply.newBuilder()
                .setLimit(m.limit())
                .setGranted(m.granted())
                .setUntil(m.until().toEpochMilli())
                .build();
    }

    static MessagesProto.LoadReport encode(LoadReport m) {
        return MessagesProto.LoadReport.newBuilder()
                .putAllOutstandingTokens(
                        m.outstandingTokens().entrySet().stream()
                                .collect(
                                        Collectors.toMap(
                                                e -> e.getKey().value(), e -> e.getValue())))
                .build();
    }

    static MessagesProto.Ping encode(Ping m) {
        return MessagesProto.Ping.getDefaultInstance();
    }

    static MessagesProto.Pong encode(Pong m) {
        return MessagesProto.Pong.getDefaultInstance();
    }

    static MessagesProto.ReplicaItems encode(ReplicaItems m) {
        return MessagesProto.ReplicaItems.newBuilder()
                .addAllItems(m.items().stream().map(MessageEncoder::encode).toList())
                .setRelay(m.relay())
                .build();
    }

    static MessagesProto.ReplicaItem encode(ReplicaItem m) {
        return MessagesProto.ReplicaItem.newBuilder()
                .setKey(m.key())
                .setRevision(m.revision())
                .setDeleted(m.deleted())
                .setValue(toByteString(m.value()))
                .build();
    }

    static MessagesProto.ReplicaPull encode(ReplicaPull m) {
        return MessagesProto.ReplicaPull.newBuilder().addAllDigests(m.digests()).build();
    }

    static MessagesProto.WorkCopy encode(WorkCopy m) {
        return MessagesProto.WorkCopy.newBuilder()
                .setRequestId(m.requestId())
                .setEpoch(m.epoch())
                .setRequest(toByteString(m.request()))
                .setOffset(m.offset())
                .setText(m.text())
                .setDeadline(m.deadline().toEpochMilli())
                .build();
    }

    static MessagesProto.WorkProgress encode(WorkProgress m) {
        return MessagesProto.WorkProgress.newBuilder()
                .addAllChunks(m.chunks().stream().map(MessageEncoder::encode).toList())
                .build();
    }

    private static MessagesProto.WorkChunk encode(WorkChunk m) {
        return MessagesProto.WorkChunk.newBuilder()
                .setRequestId(m.requestId())
                .setEpoch(m.epoch())
                .setOffset(m.offset())
                .setTokens(m.tokens())
                .setText(m.text())
                .setLast(m.last())
                .build();
    }

    static MessagesProto.WorkAck encode(WorkAck m) {
        return MessagesProto.WorkAck.newBuilder()
                .putAllOffsets(m.offsets())
                .putAllEpochs(m.epochs())
                .build();
    }

    static MessagesProto.WorkHandover encode(WorkHandover m) {
        return MessagesProto.WorkHandover.newBuilder().addAllRequestIds(m.requestIds()).build();
    }

    static MessagesProto.WorkRead encode(WorkRead m) {
        return MessagesProto.WorkRead.newBuilder()
                .setRequestId(m.requestId())
                .setOffset(m.offset())
                .build();
    }

    static MessagesProto.WorkReadReply encode(WorkReadReply m) {
        return MessagesProto.WorkReadReply.newBuilder()
                .setKnown(m.known())
                .setEpoch(m.epoch())
                .setOffset(m.offset())
                .setTokens(m.tokens())
                .setText(m.text())
                .setState(m.state())
                .build();
    }
}
