package org.carobdoor.wire;

import static org.carobdoor.wire.MessageDecoder.decodeClaimReply;
import static org.carobdoor.wire.MessageDecoder.decodeClaimRequest;
import static org.carobdoor.wire.MessageDecoder.decodeClaimUpdate;
import static org.carobdoor.wire.MessageDecoder.decodeLoadReport;
import static org.carobdoor.wire.MessageDecoder.decodeReplicaItems;
import static org.carobdoor.wire.MessageDecoder.decodeWorkCopy;
import static org.carobdoor.wire.MessageDecoder.decodeWorkProgress;
import static org.carobdoor.wire.MessageDecoder.decodeWorkReadReply;

import java.time.Instant;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;
import org.carobdoor.message.AnswerCopy;
import org.carobdoor.message.AnswerRead;
import org.carobdoor.message.AnswerReply;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.LoadReport;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.Ping;
import org.carobdoor.message.Pong;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.QuotaLoanReply;
import org.carobdoor.message.QuotaLoanRequest;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.ReplicaPull;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.message.StoreNews;
import org.carobdoor.message.StoreNewsRequest;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;
import org.carobdoor.message.WorkRead;
import org.carobdoor.message.WorkReadReply;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/** Converts messages to protobuf envelopes and back. Instants are truncated to milliseconds. */
final class MessageCodec {
    private MessageCodec() {}

    static Envelope encode(long id, Envelope.Kind kind, PeerMessage message) {
        Envelope.Builder b = Envelope.newBuilder().setMessageId(id).setKind(kind);
        return switch (message) {
            case ClaimRequest m -> b.setClaimRequest(MessageEncoder.encode(m)).build();
            case ClaimReply m -> b.setClaimReply(MessageEncoder.encode(m)).build();
            case ClaimUpdate m -> b.setClaimUpdate(MessageEncoder.encode(m)).build();
            case ClaimLookup m -> b.setClaimLookup(MessageEncoder.encode(m)).build();
            case AnswerCopy m -> b.setAnswerCopy(MessageEncoder.encode(m)).build();
            case AnswerRead m -> b.setAnswerRead(MessageEncoder.encode(m)).build();
            case AnswerReply m -> b.setAnswerReply(MessageEncoder.encode(m)).build();
            case AllotmentRequest m -> b.setAllotmentRequest(MessageEncoder.encode(m)).build();
            case AllotmentReply m -> b.setAllotmentReply(MessageEncoder.encode(m)).build();
            case LoadReport m -> b.setLoadReport(MessageEncoder.encode(m)).build();
            case Ping m -> b.setPing(MessageEncoder.encode(m)).build();
            case Pong m -> b.setPong(MessageEncoder.encode(m)).build();
            case ReplicaItems m -> b.setReplicaItems(MessageEncoder.encode(m)).build();
            case ReplicaPull m -> b.setReplicaPull(MessageEncoder.encode(m)).build();
            case WorkCopy m -> b.setWorkCopy(MessageEncoder.encode(m)).build();
            case WorkProgress m -> b.setWorkProgress(MessageEncoder.encode(m)).build();
            case WorkAck m -> b.setWorkAck(MessageEncoder.encode(m)).build();
            case WorkHandover m -> b.setWorkHandover(MessageEncoder.encode(m)).build();
            case WorkRead m -> b.setWorkRead(MessageEncoder.encode(m)).build();
            case WorkReadReply m -> b.setWorkReadReply(MessageEncoder.encode(m)).build();
            case NodeStatus m -> b.setNodeStatus(StatusCodec.encode(m)).build();
            case StatusBatch m -> b.setStatusBatch(StatusCodec.encode(m)).build();
            case StoreMirrorRequest m -> b.setStoreMirrorRequest(StatusCodec.encode(m)).build();
            case StoreMirror m -> b.setStoreMirror(StatusCodec.encode(m)).build();
            case StoreNews m -> b.setStoreNews(StatusCodec.encode(m)).build();
            case StoreNewsRequest m -> b.setStoreNewsRequest(StatusCodec.encode(m)).build();
            case QuotaLoanRequest m -> b.setQuotaLoanRequest(StatusCodec.encode(m)).build();
            case QuotaLoanReply m -> b.setQuotaLoanReply(StatusCodec.encode(m)).build();
            case CrashReport m -> b.setCrashReport(QuarantineCodec.encode(m)).build();
            case FeatureClearance m -> b.setFeatureClearance(QuarantineCodec.encode(m)).build();
            case QuarantineNotice m -> b.setQuarantineNotice(QuarantineCodec.encode(m)).build();
        };
    }

    /**
     * Decodes the message in {@code e}.
     *
     * @throws IllegalArgumentException if the message is unknown, missing or invalid
     */
    static PeerMessage decode(Envelope e) {
        return switch (e.getPayloadCase()) {
            case CLAIM_REQUEST -> decodeClaimRequest(e.getClaimRequest());
            case CLAIM_REPLY -> decodeClaimReply(e.getClaimReply());
            case CLAIM_UPDATE -> decodeClaimUpdate(e.getClaimUpdate());
            case CLAIM_LOOKUP -> MessageDecoder.decodeClaimLookup(e.getClaimLookup());
            case ANSWER_COPY -> MessageDecoder.decodeAnswerCopy(e.getAnswerCopy());
            case ANSWER_READ -> MessageDecoder.decodeAnswerRead(e.getAnswerRead());
            case ANSWER_REPLY -> MessageDecoder.decodeAnswerReply(e.getAnswerReply());
            case ALLOTMENT_REQUEST ->
                    new AllotmentRequest(
                            e.getAllotmentRequest().getLimit(),
                            e.getAllotmentRequest().getWanted());
            case ALLOTMENT_REPLY ->
                    new AllotmentReply(
                            e.getAllotmentReply().getLimit(),
                            e.getAllotmentReply().getGranted(),
                            Instant.ofEpochMilli(e.getAllotmentReply().getUntil()));
            case LOAD_REPORT -> decodeLoadReport(e.getLoadReport());
            case PING -> new Ping();
            case PONG -> new Pong();
            case REPLICA_ITEMS -> decodeReplicaItems(e.getReplicaItems());
            case REPLICA_PULL -> new ReplicaPull(e.getReplicaPull().getDigestsList());
            case WORK_COPY -> decodeWorkCopy(e.getWorkCopy());
            case WORK_PROGRESS -> decodeWorkProgress(e.getWorkProgress());
            case WORK_ACK ->
                    new WorkAck(e.getWorkAck().getOffsetsMap(), e.getWorkAck().getEpochsMap());
            case WORK_HANDOVER -> new WorkHandover(e.getWorkHandover().getRequestIdsList());
            case WORK_READ ->
                    new WorkRead(e.getWorkRead().getRequestId(), e.getWorkRead().getOffset());
            case WORK_READ_REPLY -> decodeWorkReadReply(e.getWorkReadReply());
            case NODE_STATUS -> StatusCodec.decode(e.getNodeStatus());
            case STATUS_BATCH -> StatusCodec.decode(e.getStatusBatch());
            case STORE_MIRROR_REQUEST -> StatusCodec.decode(e.getStoreMirrorRequest());
            case STORE_MIRROR -> StatusCodec.decode(e.getStoreMirror());
            case STORE_NEWS -> StatusCodec.decode(e.getStoreNews());
            case STORE_NEWS_REQUEST -> StatusCodec.decode(e.getStoreNewsRequest());
            case QUOTA_LOAN_REQUEST -> StatusCodec.decode(e.getQuotaLoanRequest());
            case QUOTA_LOAN_REPLY -> StatusCodec.decode(e.getQuotaLoanReply());
            case CRASH_REPORT -> QuarantineCodec.decode(e.getCrashReport());
            case FEATURE_CLEARANCE -> QuarantineCodec.decode(e.getFeatureClearance());
            case QUARANTINE_NOTICE -> QuarantineCodec.decode(e.getQuarantineNotice());
            case PAYLOAD_NOT_SET -> {
                if (!e.getDeflated().isEmpty()) {
                    yield decode(EnvelopeCompression.expand(e));
                }
                throw new IllegalArgumentException("envelope contains no known message");
            }
        };
    }
}
