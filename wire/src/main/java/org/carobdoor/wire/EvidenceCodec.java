package org.carobdoor.wire;

import org.carobdoor.message.EndpointEvidence;
import org.carobdoor.message.ServiceTimeSum;
import org.carobdoor.message.VersionEvidence;
import org.carobdoor.wire.proto.MessagesProto;

/** Converts the evidence in node statuses to protobuf and back. */
final class EvidenceCodec {
    private EvidenceCodec() {}

    static MessagesProto.EndpointEvidence encode(EndpointEvidence m) {
        MessagesProto.EndpointEvidence.Builder b =
                MessagesProto.EndpointEvidence.newBuilder()
                        .setEndpoint(m.endpoint())
                        .setStartedAt(m.startedAtMillis());
        for (ServiceTimeSum s : m.sums()) {
            b.addSumsBuilder()
                    .setLoadBucket(s.loadBucket())
                    .setCount(s.count())
                    .setExpectedMillis((float) s.expectedMillis())
                    .setMeasuredMillis((float) s.measuredMillis());
        }
        return b.build();
    }

    static EndpointEvidence decode(MessagesProto.EndpointEvidence p) {
        return new EndpointEvidence(
                p.getEndpoint(),
                p.getStartedAt(),
                p.getSumsList().stream().map(EvidenceCodec::decode).toList());
    }

    private static ServiceTimeSum decode(MessagesProto.ServiceTimeSum p) {
        return new ServiceTimeSum(
                p.getLoadBucket(), p.getCount(), p.getExpectedMillis(), p.getMeasuredMillis());
    }

    static MessagesProto.VersionEvidence encode(VersionEvidence m) {
        return MessagesProto.VersionEvidence.newBuilder()
                .setService(m.service())
                .setVersion(m.version())
                .setRoute(m.route())
                .setAnswers(m.answers())
                .setFailures(m.failures())
                .addAllLatencyCounts(m.latencyCounts())
                .build();
    }

    static VersionEvidence decode(MessagesProto.VersionEvidence p) {
        return new VersionEvidence(
                p.getService(),
                p.getVersion(),
                p.getRoute(),
                p.getAnswers(),
                p.getFailures(),
                p.getLatencyCountsList());
    }
}
