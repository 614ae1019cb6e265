package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.message.AccountUse;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;
import org.carobdoor.message.AnswerCopy;
import org.carobdoor.message.AnswerRead;
import org.carobdoor.message.AnswerReply;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.LoadReport;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.Ping;
import org.carobdoor.message.Pong;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.QuotaLoanReply;
import org.carobdoor.message.QuotaLoanRequest;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.ReplicaPull;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;
import org.carobdoor.message.ServiceTimeSum;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.message.StoreNews;
import org.carobdoor.message.StoreNewsRequest;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.message.VersionEvidence;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;
import org.carobdoor.message.WorkRead;
import org.carobdoor.message.WorkReadReply;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.junit.jupiter.api.Test;

/**
 * Guards against fields lost in encoding and decoding, and against message types without a codec.
 */
final class MessageCodecTest {
    private static final Instant T = Instant.ofEpochMilli(1_765_432_100_123L);
    private static final Bytes B = Bytes.utf8("0123456789abcdef");

    private static final CrashId CRASH = new CrashId("i-1", 1_765_432_100_123L);

    private static final RequestFeatures FEATURES =
            new RequestFeatures(
                    Stream.of(RequestFeature.Kind.values())
                            .map(k -> new RequestFeature(k, -1L - k.ordinal()))
                            .toList(),
                    new RequestFeature(RequestFeature.Kind.PROMPT_PART, 7));

    private static final List<PeerMessage> EXAMPLES =
            Stream.concat(
                            Stream.of(ClaimReply.Outcome.values())
                                    .map(o -> (PeerMessage) new ClaimReply(o, B, 201, "n-1")),
                            Stream.<PeerMessage>of(
                                    new ClaimRequest(3, B, Bytes.utf8("token"), T, T.plusMillis(5)),
                                    new ClaimUpdate(15, B, Bytes.utf8("token"), 409),
                                    new ClaimLookup(4, B),
                                    new AnswerCopy(B, 200, "application/json", B, T),
                                    new AnswerRead(B),
                                    new AnswerReply(200, "text/plain", B),
                                    new AllotmentRequest("entry/bids/rps", 77),
                                    new AllotmentReply("entry/bids/rps", 12, T),
                                    new LoadReport(Map.of(new EndpointId("vm-1"), 99L)),
                                    new Ping(),
                                    new Pong(),
                                    new ReplicaItems(
                                            List.of(
                                                    new ReplicaItem("entry/a", 4, false, B),
                                                    new ReplicaItem(
                                                            "entry/b", 5, true, Bytes.empty())),
                                            true),
                                    new ReplicaPull(List.of(1L, -2L, Long.MIN_VALUE)),
                                    new WorkCopy("r-1", 2, B, 7, "text", T),
                                    new WorkProgress(
                                            List.of(new WorkChunk("r-1", 1, 2, 3, "abc", true))),
                                    new WorkAck(Map.of("r-1", 3), Map.of("r-1", 2)),
                                    new WorkHandover(List.of("r-1", "r-2")),
                                    new WorkRead("r-1", 9),
                                    new WorkReadReply(true, 1, 2, 3, "abc", "running"),
                                    new NodeStatus(
                                            "front-1",
                                            5L,
                                            "zone-a",
                                            6L,
                                            7L,
                                            8L,
                                            List.of(new AccountUse("hay", 1.5, List.of(2.0, 0.5))),
                                            List.of(new EndpointUse("i-1", 2, 300L)),
                                            List.of(new UsageWindow(9L, Map.of("hay", 4L))),
                                            Map.of("llm", 10L),
                                            -11L,
                                            12L,
                                            true,
                                            true,
                                            14L,
                                            List.of(
                                                    new EndpointEvidence(
                                                            "i-1",
                                                            15L,
                                                            List.of(
                                                                    new ServiceTimeSum(
                                                                            3, 4L, 2.5, 5.5)))),
                                            List.of(
                                                    new VersionEvidence(
                                                            "llm",
                                                            "v2",
                                                            "r-1",
                                                            9L,
                                                            2L,
                                                            List.of(0L, 7L, 2L)))),
                                    new StatusBatch(
                                            List.of(
                                                    new NodeStatus(
                                                            "front-2",
                                                            5L,
                                                            "zone-a",
                                                            6L,
                                                            7L,
                                                            8L,
                                                            List.of(),
                                                            List.of(new EndpointUse("i-1", 0, 0L)),
                                                            List.of(),
                                                            Map.of(),
                                                            0L,
                                                            13L,
                                                            false,
                                                            false))),
                                    new StoreMirrorRequest(3L, 4L),
                                    new StoreMirror(
                                            List.of(new ReplicaItem("c", 1, false, B)),
                                            2L,
                                            List.of(new ReplicaItem("e", 1, false, B))),
                                    new StoreNews(
                                            2L,
                                            "op/",
                                            3L,
                                            5L,
                                            List.of(new ReplicaItem("op/config", 4, false, B)),
                                            70L,
                                            123_456_789L),
                                    new StoreNewsRequest(2L, "op/", 5L),
                                    new QuotaLoanRequest(3L, "hay", 12_000.5),
                                    new QuotaLoanReply(3L, true),
                                    new CrashReport(CRASH, List.of(FEATURES)),
                                    new FeatureClearance(FEATURES.own(), List.of(CRASH)),
                                    new QuarantineNotice(
                                            List.of(
                                                    new QuarantineEntry(
                                                            new RequestPattern(FEATURES.shared()),
                                                            1,
                                                            "n@1",
                                                            3,
                                                            2,
                                                            4,
                                                            5)))))
                    .toList();

    @Test
    void everyMessageIsUnchangedByEncodingAndDecoding() throws Exception {
        for (PeerMessage m : EXAMPLES) {
            Envelope e = MessageCodec.encode(1, Envelope.Kind.CALL, m);
            assertThat(MessageCodec.decode(Envelope.parseFrom(e.toByteArray()))).isEqualTo(m);
        }
    }

    @Test
    void everyPermittedTypeHasAnExample() {
        Set<Class<?>> covered =
                EXAMPLES.stream().map(PeerMessage::getClass).collect(Collectors.toSet());
        assertWithMessage("message types without a codec test")
                .that(covered)
                .containsExactlyElementsIn(recordTypes(PeerMessage.class).toList());
    }

    @Test
    void everyEnvelopePayloadHasAnExample() {
        Set<Envelope.PayloadCase> covered =
                EXAMPLES.stream()
                        .map(m -> MessageCodec.encode(1, Envelope.Kind.CALL, m).getPayloadCase())
                        .collect(Collectors.toSet());
        assertThat(covered).hasSize(Envelope.PayloadCase.values().length - 1);
    }

    private static Stream<Class<?>> recordTypes(Class<?> type) {
        return type.isSealed()
                ? Stream.of(type.getPermittedSubclasses()).flatMap(MessageCodecTest::recordTypes)
                : Stream.of(type);
    }
}
