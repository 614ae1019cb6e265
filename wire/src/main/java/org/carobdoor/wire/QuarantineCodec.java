package org.carobdoor.wire;

import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;
import org.carobdoor.wire.proto.MessagesProto;

/** Converts messages about requests that crash endpoints to protobuf and back. */
final class QuarantineCodec {
    private QuarantineCodec() {}

    static MessagesProto.CrashReport encode(CrashReport m) {
        MessagesProto.CrashReport.Builder b =
                MessagesProto.CrashReport.newBuilder().setCrash(encode(m.crash()));
        m.requests().forEach(r -> b.addRequests(encode(r)));
        return b.build();
    }

    static CrashReport decode(MessagesProto.CrashReport p) {
        return new CrashReport(
                decode(p.getCrash()),
                p.getRequestsList().stream().map(QuarantineCodec::decode).toList());
    }

    static MessagesProto.FeatureClearance encode(FeatureClearance m) {
        MessagesProto.FeatureClearance.Builder b =
                MessagesProto.FeatureClearance.newBuilder().setFeature(encode(m.feature()));
        m.crashes().forEach(c -> b.addCrashes(encode(c)));
        return b.build();
    }

    static FeatureClearance decode(MessagesProto.FeatureClearance p) {
        return new FeatureClearance(
                decode(p.getFeature()),
                p.getCrashesList().stream().map(QuarantineCodec::decode).toList());
    }

    static MessagesProto.QuarantineNotice encode(QuarantineNotice m) {
        MessagesProto.QuarantineNotice.Builder b = MessagesProto.QuarantineNotice.newBuilder();
        m.entries().forEach(e -> b.addEntries(encode(e)));
        return b.build();
    }

    static QuarantineNotice decode(MessagesProto.QuarantineNotice p) {
        return new QuarantineNotice(
                p.getEntriesList().stream().map(QuarantineCodec::decode).toList());
    }

    private static MessagesProto.QuarantineEntry encode(QuarantineEntry e) {
        return MessagesProto.QuarantineEntry.newBuilder()
                .addAllFeatures(
                        e.pattern().features().stream().map(QuarantineCodec::encode).toList())
                .setSince(e.sinceMillis())
                .setNode(e.node())
                .setCrashes(e.crashes())
                .setTrials(e.trials())
                .setNextTrial(e.nextTrialMillis())
                .setRequested(e.requestedMillis())
                .build();
    }

    private static QuarantineEntry decode(MessagesProto.QuarantineEntry p) {
        if (p.getFeaturesCount() == 0) {
            throw new IllegalArgumentException("quarantine entry has no features");
        }
        return new QuarantineEntry(
                new RequestPattern(
                        p.getFeaturesList().stream().map(QuarantineCodec::decode).toList()),
                p.getSince(),
                p.getNode(),
                p.getCrashes(),
                p.getTrials(),
                p.getNextTrial(),
                p.getRequested());
    }

    private static MessagesProto.RequestFeatures encode(RequestFeatures f) {
        MessagesProto.RequestFeatures.Builder b =
                MessagesProto.RequestFeatures.newBuilder().setOwn(encode(f.own()));
        f.shared().forEach(s -> b.addShared(encode(s)));
        return b.build();
    }

    private static RequestFeatures decode(MessagesProto.RequestFeatures p) {
        return new RequestFeatures(
                p.getSharedList().stream().map(QuarantineCodec::decode).toList(),
                decode(p.getOwn()));
    }

    private static MessagesProto.RequestFeature encode(RequestFeature f) {
        MessagesProto.RequestFeature.Kind kind =
                switch (f.kind()) {
                    case PROMPT_PART -> MessagesProto.RequestFeature.Kind.PROMPT_PART;
                    case RESOURCE -> MessagesProto.RequestFeature.Kind.RESOURCE;
                    case CONTENT -> MessagesProto.RequestFeature.Kind.CONTENT;
                };
        return MessagesProto.RequestFeature.newBuilder().setKind(kind).setId(f.id()).build();
    }

    private static RequestFeature decode(MessagesProto.RequestFeature p) {
        RequestFeature.Kind kind =
                switch (p.getKind()) {
                    case PROMPT_PART -> RequestFeature.Kind.PROMPT_PART;
                    case RESOURCE -> RequestFeature.Kind.RESOURCE;
                    case CONTENT -> RequestFeature.Kind.CONTENT;
                    case UNSPECIFIED, UNRECOGNIZED ->
                            throw new IllegalArgumentException("request feature has no kind");
                };
        return new RequestFeature(kind, p.getId());
    }

    private static MessagesProto.CrashId encode(CrashId c) {
        return MessagesProto.CrashId.newBuilder()
                .setEndpoint(c.endpoint())
                .setAt(c.atMillis())
                .build();
    }

    private static CrashId decode(MessagesProto.CrashId p) {
        return new CrashId(p.getEndpoint(), p.getAt());
    }
}
